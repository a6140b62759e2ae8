/**
 * Which verdicts bind a VM, whatever becomes of the messages.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as fastCheck from "fast-check";
import type * as model from "@hemlockwalk/model";
import * as boards from "../src/verdict_store.ts";
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
    offences: 1,
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

test.describe("verdict board", () => {
  test.it("dates a verdict by the digest that it answers, not by its arrival", () => {
    assert.ok(FIRST !== undefined);
    const board = new boards.VerdictBoard(true);
    assert.equal(board.accept(FIRST, createMessage(1, 1_000), LIFETIME, 6_000), "expired");
    assert.equal(board.accept(FIRST, createMessage(2, 9_000), LIFETIME, 6_000), "future");
    assert.equal(board.accept(FIRST, createMessage(3, 2_000), LIFETIME, 6_000), undefined);
    assert.equal(board.getCurrent(fixtures.SERVICE, [FIRST.vm], 6_999)?.verdicts.length, 1);
    assert.equal(board.getCurrent(fixtures.SERVICE, [FIRST.vm], 7_000), undefined);
  });

  test.it("follows the best-ranked coordinator whose verdicts are valid, and no other", () => {
    assert.ok(FIRST !== undefined && SECOND !== undefined);
    const board = new boards.VerdictBoard(true);
    const ranked = [FIRST.vm, SECOND.vm];
    board.accept(SECOND, createMessage(1, 3_000), LIFETIME, 3_000);
    assert.equal(board.getCurrent(fixtures.SERVICE, ranked, 4_000)?.sender, SECOND.vm);
    assert.equal(board.getCurrent(fixtures.SERVICE, [FIRST.vm], 4_000), undefined);
    board.accept(FIRST, createMessage(1, 2_000), LIFETIME, 4_000);
    assert.equal(board.getCurrent(fixtures.SERVICE, ranked, 4_000)?.sender, FIRST.vm);
    assert.equal(board.getCurrent(fixtures.SERVICE, ranked, 7_500)?.sender, SECOND.vm);
  });

  test.it("ends with the newest verdict in whatever order and number messages arrive", () => {
    const order = fastCheck.shuffledSubarray([1, 2, 3, 4, 5, 6, 7, 8], { minLength: 8 });
    const property = fastCheck.property(order, fastCheck.nat(7), (sequences, repeated) => {
      assert.ok(FIRST !== undefined);
      const board = new boards.VerdictBoard(true);
      for (const sequence of [...sequences, sequences[repeated] ?? 1]) {
        board.accept(FIRST, createMessage(sequence, 1_000, sequence < 8), LIFETIME, 2_000);
      }
      const held = board.getCurrent(fixtures.SERVICE, [FIRST.vm], 2_000);
      assert.equal(held?.sequence, 8);
      assert.equal(held?.verdicts.length, 0);
      // A replaced coordinator counts from the start again.
      const replaced = { ...FIRST, incarnation: "other" as model.Incarnation };
      assert.equal(board.accept(replaced, createMessage(1, 1_500), LIFETIME, 2_000), undefined);
    });
    fastCheck.assert(property, { seed: 6_013, numRuns: 200 });
  });
});
