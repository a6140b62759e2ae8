/**
 * Random histories of a fleet with claims, each of which is checked against the oracle.
 */

import * as fc from "fast-check";
import * as fleets from "./claim_fleet.ts";
import * as oracles from "./claim_oracle.ts";

const VMS = 5;
const KEYS = 3;

/** A step of a history. */
export type Step =
  | { readonly kind: "claim"; readonly vm: number; readonly key: number; readonly other: boolean }
  | { readonly kind: "settle"; readonly how: "complete" | "abandon" | "fail" }
  | { readonly kind: "cut" | "heal"; readonly from: number; readonly to: number }
  | { readonly kind: "delay"; readonly from: number; readonly to: number; readonly by: number }
  | { readonly kind: "pause" | "resume" | "replace" | "replaceThree"; readonly vm: number }
  | { readonly kind: "view" | "part"; readonly vm: number; readonly others: readonly number[] }
  | { readonly kind: "wait"; readonly milliseconds: number };

const vmIndex = fc.integer({ min: 0, max: VMS - 1 });
const someVms = fc.uniqueArray(vmIndex, { maxLength: VMS });

/** A fault, a change of the fleet, or an action of a caller. */
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("claim" as const),
      vm: vmIndex,
      key: fc.integer({ min: 0, max: KEYS - 1 }),
      other: fc.integer({ min: 0, max: 9 }).map((value) => value === 0),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("settle" as const),
      how: fc.constantFrom("complete" as const, "abandon" as const, "fail" as const),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom("cut" as const, "heal" as const),
      from: vmIndex,
      to: vmIndex,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("delay" as const),
      from: vmIndex,
      to: vmIndex,
      by: fc.integer({ min: 1, max: 700 }),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "pause" as const,
        "resume" as const,
        "replace" as const,
        "replaceThree" as const,
      ),
      vm: vmIndex,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom("view" as const, "part" as const),
      vm: vmIndex,
      others: someVms,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      milliseconds: fc.integer({ min: 20, max: 5_000 }),
    }),
  },
);

/** Adds a check whose failure is reported at the end of the history. */
function track(pending: Promise<void>[], check: Promise<void>): void {
  // Without a handler, a rejection would end the process before the end of the history.
  check.catch(() => undefined);
  pending.push(check);
}

/**
 * Replaces three VMs one after another, each as soon as the previous one votes, and claims again.
 */
async function replaceThree(
  fleet: fleets.ClaimFleet,
  oracle: oracles.ClaimOracle,
  pending: Promise<void>[],
  first: number,
): Promise<void> {
  for (let offset = 0; offset < 3; offset++) {
    await fleet.replace((first + offset) % VMS);
    await fleet.wait(fleets.TIMING.maxLease + 200);
  }
  for (let key = 0; key < KEYS; key++) {
    track(pending, oracle.claim((first + 4) % VMS, `key-${key}`, "f"));
  }
  await fleet.advance(200);
}

async function runStep(
  fleet: fleets.ClaimFleet,
  oracle: oracles.ClaimOracle,
  pending: Promise<void>[],
  next: Step,
): Promise<void> {
  switch (next.kind) {
    case "claim":
      track(pending, oracle.claim(next.vm, `key-${next.key}`, next.other ? "g" : "f"));
      return;
    case "settle":
      oracle.settleOldest(next.how);
      return;
    case "cut":
    case "heal":
      fleet.setCut(next.from, next.to, next.kind === "cut");
      return;
    case "delay":
      fleet.setDelay(next.from, next.to, next.by);
      return;
    case "pause":
      fleet.pause(next.vm);
      return;
    case "resume":
      fleet.resume(next.vm);
      return;
    case "replace":
      await fleet.replace(next.vm);
      return;
    case "replaceThree":
      await replaceThree(fleet, oracle, pending, next.vm);
      return;
    case "view":
      fleet.setView(next.vm, next.others);
      return;
    case "part":
      fleet.part(next.others);
      for (let index = 0; index < VMS; index++) {
        const isInside = next.others.includes(index);
        const side = [0, 1, 2, 3, 4].filter((other) => next.others.includes(other) === isInside);
        fleet.setView(index, side);
      }
      return;
    case "wait":
      await fleet.advance(next.milliseconds);
  }
}

/** Generates random histories. */
export const history = fc.array(step, { minLength: 15, maxLength: 60 });

/** Runs a history and returns the number of decisions of each kind. */
export async function runHistory(steps: readonly Step[]): Promise<ReadonlyMap<string, number>> {
  const fleet = new fleets.ClaimFleet(VMS, 1);
  try {
    const oracle = new oracles.ClaimOracle(fleet);
    const pending: Promise<void>[] = [];
    await fleet.wait(fleets.COLD_START_MILLISECONDS);
    for (const next of steps) {
      await runStep(fleet, oracle, pending, next);
    }
    fleet.heal();
    await fleet.advance(fleets.CLAIM_MILLISECONDS * 2);
    await Promise.all(pending);
    return oracle.decisions;
  } finally {
    await fleet.end();
  }
}
