"""Which statement of an endpoint about its limit is in force."""

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.const import ENDED_RETENTION_S, UNLISTED_RETENTION_S
from chestnutvale.rate_limits.statements import RateStatement, RateStatements

HEAD = Incarnation("h1", "b1")


def test_a_limit_ends_with_an_answer_that_names_none():
    statements = RateStatements()
    assert statements.record(RateStatement(HEAD, 2.0, 1.0))
    assert not statements.record(RateStatement(HEAD, 2.0, 2.0))
    assert statements.rate_per_s(HEAD) == 2.0
    assert statements.record(RateStatement(HEAD, None, 3.0))
    assert statements.limits() == {}


def test_an_older_statement_revives_no_limit_that_has_ended():
    statements = RateStatements()
    statements.record(RateStatement(HEAD, 2.0, 1.0))
    statements.record(RateStatement(HEAD, None, 3.0))
    assert not statements.record(RateStatement(HEAD, 2.0, 2.0))
    assert statements.rate_per_s(HEAD) is None


def test_answers_without_a_limit_are_not_kept():
    statements = RateStatements()
    assert not statements.record(RateStatement(HEAD, None, 1.0))
    assert statements.all() == []


def test_another_incarnation_has_no_limit():
    statements = RateStatements()
    statements.record(RateStatement(HEAD, 2.0, 1.0))
    assert statements.rate_per_s(Incarnation("h1", "b2")) is None


def test_limits_of_listed_endpoints_are_kept_and_others_forgotten():
    statements = RateStatements()
    gone = Incarnation("h2", "b1")
    statements.record(RateStatement(HEAD, 2.0, 0.0))
    statements.record(RateStatement(gone, 3.0, 0.0))
    later_s = UNLISTED_RETENTION_S + 1.0
    statements.keep_listed([HEAD], UNLISTED_RETENTION_S)
    statements.keep_listed([HEAD], later_s)
    assert statements.limits() == {HEAD: 2.0}
    statements.record(RateStatement(HEAD, None, later_s))
    statements.keep_listed([HEAD], later_s + ENDED_RETENTION_S + 1.0)
    assert statements.all() == []
