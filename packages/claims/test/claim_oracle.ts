/**
 * An oracle that records all claims and checks each decision against them.
 */

import assert from "node:assert/strict";
import type * as claims from "../src/mod.ts";
import * as fleets from "./claim_fleet.ts";

/** How long a claim may still be reported as running after it was settled. */
const STALE_OUTCOME_MILLISECONDS = 1_500;

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

/** Records claims and grants, and checks that each decision is consistent with them. */
export class ClaimOracle {
  readonly #fleet: fleets.ClaimFleet;
  readonly #grants: Grant[] = [];
  readonly #attempts: Attempt[] = [];
  /** Decisions so far, by kind. */
  readonly decisions = new Map<string, number>();

  constructor(fleet: fleets.ClaimFleet) {
    this.#fleet = fleet;
  }

  /** Makes a claim and checks its decision. */
  claim(index: number, key: string, fingerprint: string): Promise<void> {
    const vm = this.#fleet.getVm(index);
    const deadline = this.#fleet.clock.monotonicMilliseconds + fleets.CLAIM_MILLISECONDS;
    const own = { key, fingerprint };
    this.#attempts.push(own);
    return this.#fleet.claim(index, key, fingerprint).then((decision) => {
      // A decision on a dead VM has no effect.
      if (!vm.isDead) {
        this.#check(vm, key, fingerprint, decision, deadline, own);
      }
    });
  }

  /** Settles the oldest claim that is still running. */
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
    own: Attempt,
  ): void {
    const now = this.#fleet.clock.monotonicMilliseconds;
    this.decisions.set(decision.kind, (this.decisions.get(decision.kind) ?? 0) + 1);
    const grants = this.#grants.filter((grant) => grant.key === key);
    // Another attempt may have started after this one and may hold the key before it is decided.
    const others = this.#attempts.filter((attempt) => attempt !== own && attempt.key === key);
    switch (decision.kind) {
      case "granted":
        assert.ok(now <= deadline, "A claim must not be granted after its deadline.");
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
          "A stored response must be the response of a claim on the same key.",
        );
        return;
      case "running":
        assert.ok(
          grants.some((grant) =>
            grant.settled === undefined || now - grant.settledAt < STALE_OUTCOME_MILLISECONDS
          ),
          "A claim on the key must be running.",
        );
        return;
      case "unknown":
        assert.ok(others.length > 0, "Another claim on the key must exist.");
        return;
      case "mismatch":
        assert.ok(
          others.some((attempt) => attempt.fingerprint !== fingerprint),
          "The key must have been used for another request.",
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
