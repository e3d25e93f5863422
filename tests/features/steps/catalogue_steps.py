from behave import then

from wigeondrift.catalogue import DOCS_DIR, PAGES_BY_NAME


@then('the page "{name}" equals the output of the catalogue')
def check_page(context, name):
    assert (DOCS_DIR / name).read_text() == PAGES_BY_NAME[name]()
