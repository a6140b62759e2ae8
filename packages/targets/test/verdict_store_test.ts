/**
 * Which verdicts a VM follows when messages are delayed, reordered or duplicated.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as fastCheck from "fast-check";
import type * as model from "@hemlockwalk/model";
import * as verdictStores from "../src/verdict_store.ts";
import * as messages from "../src/messages.ts";
import * as fixtures from "./fixtures.ts";

const LIFETIME = 5_000;
const [FIRST, SECOND] = fixtures.createIdentities(2, 1);
const TARGET = messages.createShortId(fixtures.getTargetId(0));

function createMessage(sequence: number, echo: number, out = true): messages.VerdictMessage {
  const verdict = {
    target: TARGET,
    scope: {},
    state: "out",
    remainingMilliseconds: 1_000,
    ejectionCount: 1,
  } as const;
  return {
    service: fixtures.SERVICE,
    sequence,
    echo,
    life: 0,
    verdicts: messages.packVerdicts(out ? [verdict] : []),
    mayTry: false,
    loads: [],
  };
}

test.describe("verdict store", () => {
  test.it("counts the lifetime of a verdict from the digest that it replies to", () => {
    assert.ok(FIRST !== undefined);
    const store = new verdictStores.VerdictStore(true);
    assert.equal(store.accept(FIRST, createMessage(1, 1_000), LIFETIME, 6_000), "expired");
    assert.equal(store.accept(FIRST, createMessage(2, 9_000), LIFETIME, 6_000), "future");
    assert.equal(store.accept(FIRST, createMessage(3, 2_000), LIFETIME, 6_000), undefined);
    assert.equal(store.getCurrent(fixtures.SERVICE, [FIRST.vm], 6_999)?.verdicts.length, 1);
    assert.equal(store.getCurrent(fixtures.SERVICE, [FIRST.vm], 7_000), undefined);
  });

  test.it("follows only the highest-ranked coordinator whose verdicts are valid", () => {
    assert.ok(FIRST !== undefined && SECOND !== undefined);
    const store = new verdictStores.VerdictStore(true);
    const ranked = [FIRST.vm, SECOND.vm];
    store.accept(SECOND, createMessage(1, 3_000), LIFETIME, 3_000);
    assert.equal(store.getCurrent(fixtures.SERVICE, ranked, 4_000)?.sender, SECOND.vm);
    assert.equal(store.getCurrent(fixtures.SERVICE, [FIRST.vm], 4_000), undefined);
    store.accept(FIRST, createMessage(1, 2_000), LIFETIME, 4_000);
    assert.equal(store.getCurrent(fixtures.SERVICE, ranked, 4_000)?.sender, FIRST.vm);
    assert.equal(store.getCurrent(fixtures.SERVICE, ranked, 7_500)?.sender, SECOND.vm);
  });

  test.it("keeps the newest verdict when messages are reordered or duplicated", () => {
    const order = fastCheck.shuffledSubarray([1, 2, 3, 4, 5, 6, 7, 8], { minLength: 8 });
    const property = fastCheck.property(order, fastCheck.nat(7), (sequences, repeated) => {
      assert.ok(FIRST !== undefined);
      const store = new verdictStores.VerdictStore(true);
      for (const sequence of [...sequences, sequences[repeated] ?? 1]) {
        store.accept(FIRST, createMessage(sequence, 1_000, sequence < 8), LIFETIME, 2_000);
      }
      const held = store.getCurrent(fixtures.SERVICE, [FIRST.vm], 2_000);
      assert.equal(held?.sequence, 8);
      assert.equal(held?.verdicts.length, 0);
      // A replaced coordinator starts its sequence again.
      const replaced = { ...FIRST, incarnation: "other" as model.Incarnation };
      assert.equal(store.accept(replaced, createMessage(1, 1_500), LIFETIME, 2_000), undefined);
    });
    fastCheck.assert(property, { seed: 6_013, numRuns: 200 });
  });
});
