"""Conversion of quota claims and assignments to and from the messages that carry them."""

from bilberrystack.pooling import messages
from bilberrystack.quotas import shares


def encode_claims(claims: shares.Claims) -> messages.QuotaClaims:
    """Return claims in the form in which a heartbeat carries them."""
    token, assignment_number = claims.acknowledged
    return messages.QuotaClaims(
        claims.number,
        token,
        assignment_number,
        [
            messages.QuotaClaim(
                entry.account, entry.fraction, entry.demand_per_s, entry.waiting_count
            )
            for entry in claims.entries
        ],
    )


def decode_claims(received: messages.QuotaClaims) -> shares.Claims:
    """Return the claims that a heartbeat carries."""
    return shares.Claims(
        received.number,
        (received.token, received.assignment_number),
        tuple(
            shares.Claim(entry.account, entry.fraction, entry.demand_per_s, entry.waiting_count)
            for entry in received.entries
        ),
    )


def encode_assignment(assignment: shares.Assignment) -> messages.QuotaAssignment:
    """Return an assignment in the form in which an answer carries it."""
    return messages.QuotaAssignment(
        assignment.number,
        [
            messages.QuotaShare(share.account, share.fraction, share.saturated, share.tokens)
            for share in assignment.shares
        ],
    )


def decode_shares(received: messages.QuotaAssignment) -> tuple[shares.Share, ...]:
    """Return the shares of the assignment that an answer carries."""
    return tuple(
        shares.Share(share.account, share.fraction, share.saturated, share.tokens)
        for share in received.shares
    )
