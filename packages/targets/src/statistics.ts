/**
 * Tests on counts of calls.
 *
 * The tail of a binomial distribution is bounded by Chernoff's inequality: of `calls` calls that fail
 * with probability `share` each, `events` or more fail with a probability of at most
 * `exp(-calls * divergence)`. A threshold in nats is therefore a budget for wrong findings: 12 nats
 * stand for one in 160,000 looks.
 */

/** Highest and lowest probability that a test is made against. */
const SHARE_LIMIT = 1e-6;

/** Evidence, in nats, that the events are not the result of the given share. */
export function getEvidence(events: number, calls: number, share: number): number {
  if (calls <= 0) {
    return 0;
  }
  const expected = Math.min(Math.max(share, SHARE_LIMIT), 1 - SHARE_LIMIT);
  const seen = Math.min(events / calls, 1);
  return calls * (getTerm(seen, expected) + getTerm(1 - seen, 1 - expected));
}

/** Whether so many events show, beyond the budget, that the share is exceeded. */
export function isAboveShare(events: number, calls: number, share: number, nats: number): boolean {
  return events > share * calls && getEvidence(events, calls, share) >= nats;
}

/** Whether so few events show, beyond the budget, that the share is not reached. */
export function isBelowShare(events: number, calls: number, share: number, nats: number): boolean {
  return events < share * calls && getEvidence(events, calls, share) >= nats;
}

function getTerm(seen: number, expected: number): number {
  return seen === 0 ? 0 : seen * Math.log(seen / expected);
}
