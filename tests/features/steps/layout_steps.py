import re
import subprocess
import sys
import tomllib
from pathlib import Path

from behave import then

ROOT = Path(__file__).parent.parent.parent.parent
PLATFORM_NAMES_PATTERN = re.compile(
    r"Wigeondrift-[A-Z]|wigeondrift-(request|deadline|expect|tenant|hop|token|server)"
    r"|kv-(txn|watch|range|lease|keep|key)|op/config|slo_ms|api_keys|_token_bytes"
    r"|/wigeondrift/(report|order|readiness)"
)
LIST_IMPORTS_SCRIPT = """
import sys
import wigeondrift.router.__main__
import prometheus_client
names = {name.partition(".")[0] for name in sys.modules}
print(*sorted(names - set(sys.stdlib_module_names)))
"""
# Modules of the required distributions and of their dependencies.
ALLOWED_MODULES = {
    "h11",
    "msgspec",
    "prometheus_client",
    "pythonjsonlogger",
    "statsd",
    "trio",
    "attr",
    "attrs",
    "idna",
    "outcome",
    "sniffio",
    "sortedcontainers",
    "typing_extensions",
    "wigeondrift",
}


@then("no module outside wigeondrift/platform contains a header, path or key of it")
def check_platform_names(context):
    found = []
    for path in sorted((ROOT / "wigeondrift").rglob("*.py")):
        if "platform" in path.relative_to(ROOT / "wigeondrift").parts:
            continue
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            if PLATFORM_NAMES_PATTERN.search(line):
                found.append(f"{path.name}:{number}: {line.strip()}")
    assert not found, found


@then("each line of requirements.txt occurs in pyproject.toml")
def check_requirements(context):
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    wanted = {line for line in lines if line and not line.startswith("#")}
    assert wanted and wanted <= set(project["dependencies"]), wanted


@then("the router imports nothing beyond requirements.txt")
def check_imports(context):
    run = subprocess.run(
        [sys.executable, "-c", LIST_IMPORTS_SCRIPT],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    extra = {
        name
        for name in run.stdout.split()
        if name not in ALLOWED_MODULES and not name.startswith(("_", "__editable"))
    }
    assert not extra, extra


@then("deploy/system.toml runs modules of the package")
def check_deploy(context):
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert deploy["roles"]
    for role in deploy["roles"].values():
        command = role["run"].split()
        assert command[:2] == ["python3", "-m"]
        path = ROOT / command[2].replace(".", "/")
        assert path.with_suffix(".py").exists() or (path / "__main__.py").exists()
