/**
 * A list of everything that was claimed, against which each decision is checked.
 */

import assert from "node:assert/strict";
import type * as claims from "../src/mod.ts";
import * as fleets from "./claim_fleet.ts";

/** Messages may be under way for so long when a state is told. */
const TELLING_MILLISECONDS = 1_500;

interface Grant {
  readonly key: string;
  readonly fingerprint: string;
  readonly body: string;
  readonly at: number;
  readonly claim: claims.Claim;
  readonly vm: fleets.ClaimVm;
  settled: "completed" | "abandoned" | "failed" | undefined;
  settledAt: number;
}

interface Attempt {
  readonly key: string;
  readonly fingerprint: string;
}

/** Knows what ran, and whether what callers were told is true. */
export class ClaimOracle {
  readonly #fleet: fleets.ClaimFleet;
  readonly #grants: Grant[] = [];
  readonly #attempts: Attempt[] = [];
  /** Decisions so far, by kind. */
  readonly decisions = new Map<string, number>();

  constructor(fleet: fleets.ClaimFleet) {
    this.#fleet = fleet;
  }

  /** Makes a claim whose decision is checked when it comes. */
  claim(index: number, key: string, fingerprint: string): Promise<void> {
    const vm = this.#fleet.getVm(index);
    const deadline = this.#fleet.clock.monotonicMilliseconds + fleets.CLAIM_MILLISECONDS;
    const earlier = [...this.#attempts];
    this.#attempts.push({ key, fingerprint });
    return this.#fleet.claim(index, key, fingerprint).then((decision) => {
      // What a dead VM would do does not happen.
      if (!vm.isDead) {
        this.#check(vm, key, fingerprint, decision, deadline, earlier);
      }
    });
  }

  /** Settles the oldest claim that still runs. */
  settleOldest(how: "complete" | "abandon" | "fail"): void {
    const grant = this.#grants.find((candidate) =>
      candidate.settled === undefined && !candidate.vm.isDead
    );
    if (grant === undefined) {
      return;
    }
    grant.settledAt = this.#fleet.clock.monotonicMilliseconds;
    switch (how) {
      case "complete":
        grant.settled = "completed";
        grant.claim.complete({ status: 200, headers: [], body: Buffer.from(grant.body) });
        return;
      case "abandon":
        grant.settled = "abandoned";
        grant.claim.abandon();
        return;
      case "fail":
        grant.settled = "failed";
        grant.claim.fail();
    }
  }

  #check(
    vm: fleets.ClaimVm,
    key: string,
    fingerprint: string,
    decision: claims.ClaimDecision,
    deadline: number,
    earlier: readonly Attempt[],
  ): void {
    const now = this.#fleet.clock.monotonicMilliseconds;
    this.decisions.set(decision.kind, (this.decisions.get(decision.kind) ?? 0) + 1);
    const grants = this.#grants.filter((grant) => grant.key === key);
    const isAttempt = (attempt: Attempt) => attempt.key === key;
    switch (decision.kind) {
      case "granted":
        assert.ok(now <= deadline, "A grant after the deadline is of no use.");
        this.#checkGrant(grants, now);
        this.#grants.push({
          key,
          fingerprint,
          body: `answer ${this.#grants.length}`,
          at: now,
          claim: decision.claim,
          vm,
          settled: undefined,
          settledAt: 0,
        });
        return;
      case "stored":
        assert.ok(
          grants.some((grant) =>
            grant.settled === "completed" && grant.fingerprint === fingerprint &&
            grant.body === Buffer.from(decision.answer.body).toString()
          ),
          "A stored answer is the answer of a claim on the same key.",
        );
        return;
      case "running":
        assert.ok(
          grants.some((grant) =>
            grant.settled === undefined || now - grant.settledAt < TELLING_MILLISECONDS
          ),
          "Something runs.",
        );
        return;
      case "unknown":
        assert.ok(earlier.some(isAttempt), "Something may have run.");
        return;
      case "mismatch":
        assert.ok(
          earlier.some((attempt) => isAttempt(attempt) && attempt.fingerprint !== fingerprint),
          "The key was used for another request.",
        );
        return;
      case "unavailable":
        assert.ok(decision.retryAfterMilliseconds > 0);
    }
  }

  #checkGrant(grants: readonly Grant[], now: number): void {
    for (const grant of grants) {
      const isFree = grant.settled === "abandoned" || now - grant.at > fleets.TIMING.retention;
      assert.ok(isFree, `The key was granted twice within ${now - grant.at} ms.`);
    }
  }
}
