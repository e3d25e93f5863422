from behave import then

from wigeondrift.catalogue import DOCS_DIR, PAGES_BY_NAME


@then('the page "{name}" is what the catalogue renders')
def check_page(context, name):
    assert (DOCS_DIR / name).read_text() == PAGES_BY_NAME[name]()
