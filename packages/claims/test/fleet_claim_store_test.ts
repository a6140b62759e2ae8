/**
 * At most one run for each key whatever the VMs' views of the fleet are, and a correct decision for
 * each repeated request.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as fc from "fast-check";
import * as slotVoters from "../src/slot_voter.ts";
import * as fleets from "./claim_fleet.ts";
import * as histories from "./claim_histories.ts";

const VMS = 5;

async function withFleet(
  action: (fleet: fleets.ClaimFleet) => Promise<void>,
  timing = fleets.TIMING,
): Promise<void> {
  const fleet = new fleets.ClaimFleet(VMS, 1, timing);
  try {
    await action(fleet);
  } finally {
    await fleet.end();
  }
}

test.describe("claims over the fleet", () => {
  test.it("never grants a key twice and decides correctly on every repeat", async () => {
    const total = new Map<string, number>();
    await fc.assert(
      fc.asyncProperty(histories.history, async (steps) => {
        for (const [kind, count] of await histories.runHistory(steps)) {
          total.set(kind, (total.get(kind) ?? 0) + count);
        }
      }),
      kernelTesting.getRandomRuns(41, 25),
    );
    // The histories must cover every kind of decision.
    for (const kind of ["granted", "stored", "running", "unknown", "mismatch", "unavailable"]) {
      assert.ok((total.get(kind) ?? 0) > 0, `No decision was '${kind}'.`);
    }
  });

  test.it("answers a repeat through another VM by the outcome of the first", async () => {
    await withFleet(async (fleet) => {
      await fleet.wait(fleets.TIMING.minLease);
      const cold = await fleet.claimNow(0, "k");
      assert.ok(cold.kind === "unavailable");
      // The caller is asked to retry after the cold start and not every second.
      assert.ok(cold.retryAfterMilliseconds > fleets.TIMING.retention);
      await fleet.wait(fleets.COLD_START_MILLISECONDS);
      const first = await fleet.claimNow(0, "k");
      assert.ok(first.kind === "granted");
      assert.equal((await fleet.claimNow(1, "k")).kind, "running");
      first.claim.complete({ status: 201, headers: ["a", "b"], body: Buffer.from("booked") });
      const repeat = await fleet.claimNow(2, "k");
      assert.ok(repeat.kind === "stored");
      assert.equal(Buffer.from(repeat.answer.body).toString(), "booked");
      assert.equal((await fleet.claimNow(2, "k", "other")).kind, "mismatch");
      await fleet.replace(0);
      assert.equal((await fleet.claimNow(3, "k")).kind, "unknown");

      const unused = await fleet.claimNow(1, "unused");
      assert.ok(unused.kind === "granted");
      unused.claim.abandon();
      assert.equal((await fleet.claimNow(2, "unused")).kind, "granted");
    });
  });

  test.it("grants one of two claims that are made at the same moment", async () => {
    await withFleet(async (fleet) => {
      await fleet.wait(fleets.COLD_START_MILLISECONDS);
      for (let key = 0; key < 20; key++) {
        const claims = [0, 1, 2].map((index) => fleet.claim(index, `k${key}`));
        await fleet.advance(fleets.CLAIM_MILLISECONDS);
        const kinds = (await Promise.all(claims)).map((decision) => decision.kind);
        assert.equal(kinds.filter((kind) => kind === "granted").length, 1, kinds.join(" "));
      }
    });
  });

  test.it("grants no key again after all VMs were replaced within the retention", async () => {
    // All VMs are replaced within the retention, each after the previous one has begun to vote.
    const timing = { ...fleets.TIMING, retention: 40_000, maxEntryAge: 60_000 };
    await withFleet(async (fleet) => {
      await fleet.wait(60_000);
      const first = await fleet.claimNow(0, "k");
      assert.ok(first.kind === "granted");
      first.claim.fail();
      for (let index = 0; index < VMS; index++) {
        await fleet.replace(index);
        await fleet.wait(6_000);
      }
      const repeat = await fleet.claimNow(0, "k");
      assert.equal(repeat.kind, "unavailable");
      await fleet.wait(60_000);
      assert.equal((await fleet.claimNow(0, "new")).kind, "granted");
    }, timing);
  });

  test.it("grants claims on at most one side of a partition", async () => {
    await withFleet(async (fleet) => {
      await fleet.wait(fleets.COLD_START_MILLISECONDS);
      const north = [0, 1];
      const south = [2, 3, 4];
      fleet.part(north);
      for (const index of north) {
        fleet.setView(index, north);
      }
      for (const index of south) {
        fleet.setView(index, south);
      }
      await fleet.wait(fleets.COLD_START_MILLISECONDS * 2);
      const small = await fleet.claimNow(0, "k");
      assert.equal(small.kind, "unavailable");
      assert.equal((await fleet.claimNow(2, "k")).kind, "granted");
    });
  });

  test.it("stops grants at an isolated holder and delays those of its successor", async () => {
    await withFleet(async (fleet) => {
      const setCandidate = (indexes: readonly number[], candidate: number) => {
        for (const index of indexes) {
          fleet.setView(index, [0, 1, 2, 3, 4]);
          const { membership } = fleet.getVm(index);
          membership.set(
            membership.listMembers().map((member) => ({
              ...member,
              state: member.vm === fleet.getName(candidate) ? "live" : "suspect",
            })),
          );
        }
      };
      setCandidate([0, 1, 2, 3, 4], 0);
      await fleet.wait(fleets.COLD_START_MILLISECONDS);
      const first = await fleet.claimNow(1, "k");
      assert.ok(first.kind === "granted");
      first.claim.abandon();
      const used = await fleet.claimNow(1, "used");
      assert.ok(used.kind === "granted");
      used.claim.fail();
      assert.equal(fleet.getVm(0).store.heldSlots, 64);

      // The first holder stays cut off, and another VM acquires its slots from the same voters.
      fleet.part([0]);
      setCandidate([1, 2, 3, 4], 1);
      await fleet.wait(fleets.TIMING.minLease * 3);
      assert.equal(fleet.getVm(1).store.heldSlots, 64);
      assert.equal((await fleet.claimNow(2, "used")).kind, "unavailable");
      assert.equal((await fleet.claimNow(0, "k")).kind, "unavailable");
      await fleet.wait(fleets.TIMING.retention * 2);
      assert.equal((await fleet.claimNow(2, "k")).kind, "granted");
      assert.equal((await fleet.claimNow(0, "k")).kind, "unavailable");
    });
  });

  test.it("does not vote just after its start, nor withdraw a later vote", async () => {
    await withFleet(async (fleet) => {
      const voter = new slotVoters.SlotVoter(fleets.TIMING);
      const candidates = [0, 1].map((index) => fleet.getVm(index).identity);
      const [first, second] = candidates;
      assert.ok(first !== undefined && second !== undefined);
      assert.equal(voter.vote(7, first, 2_000, 1), undefined);
      await fleet.advance(fleets.TIMING.maxLease * 1.1);
      assert.equal(voter.vote(7, first, 2_000, 2), 0);
      assert.equal(voter.vote(7, second, 2_000, 1), undefined);
      voter.release(7, first, 1, true);
      assert.equal(voter.vote(7, second, 2_000, 2), undefined);
      voter.release(7, first, 2, true);
      assert.notEqual(voter.vote(7, second, 2_000, 3), undefined);
      const renamed = { ...second, incarnation: model.createIncarnation() };
      assert.equal(voter.vote(7, renamed, 2_000, 4), undefined);
    });
  });
});
