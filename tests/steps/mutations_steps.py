"""Steps for the table of mutations."""

from __future__ import annotations

from pathlib import Path

from behave import then

from tools._mutation_table import MUTATIONS

ROOT = Path(__file__).resolve().parents[2]


@then("mutations find each text to replace exactly once")
def texts_occur_once(context):
    counts = {
        mutation.mechanism: (ROOT / "lentiltally" / mutation.module)
        .read_text()
        .count(mutation.before)
        for mutation in MUTATIONS
    }
    stale = {mechanism: count for mechanism, count in counts.items() if count != 1}
    assert len(counts) > 40 and not stale, stale


@then("mutations find each scenario")
def scenarios_exist(context):
    stale = [m.mechanism for m in MUTATIONS if not _titles(m.feature, m.scenario)]
    assert not stale, stale


def _titles(feature, part):
    lines = (ROOT / "tests" / f"{feature}.feature").read_text().splitlines()
    return [line for line in lines if "Scenario" in line and part in line]
