/**
 * Tests of the concurrency of a request's attempts, without targets.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as races from "../src/attempt_race.ts";

const SILENCE_MILLISECONDS = 100;

/** An attempt that the test ends. */
interface FakeAttempt {
  readonly placement: string;
  readonly attempt: races.RacingAttempt;
  readonly end: (result: string | undefined) => void;
  readonly fail: (error: Error) => void;
}

class FakeRules implements races.RaceRules<string, string> {
  readonly attempts: FakeAttempt[] = [];
  /** Placements that are available for attempts beside the first. */
  free: string[] = [];
  silenceMilliseconds: number | undefined = SILENCE_MILLISECONDS;

  runAttempt(placement: string, attempt: races.RacingAttempt): Promise<string | undefined> {
    attempt.begin(() => this.silenceMilliseconds);
    return new Promise((resolve, reject) => {
      this.attempts.push({ placement, attempt, end: resolve, fail: reject });
      attempt.onCancel(() => resolve(`${placement} cancelled`));
    });
  }

  isFailure(result: string): boolean {
    return result.endsWith("failed");
  }

  tryPlace(): string | undefined {
    return this.free.shift();
  }

  get(index: number): FakeAttempt {
    const attempt = this.attempts[index];
    assert.ok(attempt !== undefined, `There is no attempt ${index}.`);
    return attempt;
  }
}

test.describe("attempt race", () => {
  let clock: kernelTesting.TestClock;
  let rules: FakeRules;
  let race: races.AttemptRace<string, string>;

  test.beforeEach(() => {
    clock = new kernelTesting.TestClock();
    rules = new FakeRules();
    race = new races.AttemptRace(rules);
  });
  test.afterEach(() => {
    clock.restore();
  });

  /** Starts the race and lets the first attempt be silent, so that the free placements are used. */
  async function startSilent(
    ...free: string[]
  ): Promise<{ readonly result: Promise<string | undefined> }> {
    rules.free = free;
    const result = race.run("first");
    await clock.advance(SILENCE_MILLISECONDS * Math.max(1, free.length));
    // An async function would await the promise itself.
    return { result };
  }

  test.it("cancels a silent attempt that nothing can be placed beside", async () => {
    const { result } = await startSilent();
    await clock.advance(10 * SILENCE_MILLISECONDS);
    assert.equal(rules.attempts.length, 1);
    assert.equal(rules.get(0).attempt.isCancelled, false);
    assert.equal(rules.get(0).attempt.isSilent, true);
    rules.get(0).end("first answered");
    assert.equal(await result, "first answered");
  });

  test.it("places attempts before the running ones have been silent", async () => {
    rules.free = ["second", "third"];
    const result = race.run("first");
    await clock.advance(SILENCE_MILLISECONDS - 10);
    assert.equal(rules.attempts.length, 1);
    await clock.advance(10);
    assert.equal(rules.attempts.length, 2);
    await clock.advance(SILENCE_MILLISECONDS - 10);
    assert.equal(rules.get(1).attempt.isSilent, false);
    assert.equal(rules.attempts.length, 2);
    await clock.advance(10);
    assert.equal(rules.attempts.length, 3);
    assert.ok(rules.attempts.every(({ attempt }) => !attempt.isCancelled));
    race.cancel();
    await result;
  });

  test.it("places no attempt although what it needs is there later", async () => {
    const { result } = await startSilent();
    rules.free = ["second"];
    await clock.advance(SILENCE_MILLISECONDS);
    assert.equal(rules.attempts.length, 2);
    race.cancel();
    await result;
  });

  test.it("places an attempt where no silence calls for one", async () => {
    rules.silenceMilliseconds = undefined;
    const { result } = await startSilent("second");
    assert.equal(rules.attempts.length, 1);
    rules.get(0).end("first answered");
    assert.equal(await result, "first answered");
  });

  for (const winner of [0, 1, 2]) {
    test.it(`lets other attempts go on after attempt ${winner} has won`, async () => {
      const { result } = await startSilent("second", "third");
      assert.equal(rules.attempts.length, 3);
      rules.get(winner).attempt.win();
      rules.attempts.forEach(({ attempt }, index) => {
        assert.equal(attempt.isCancelled, index !== winner);
        assert.equal(attempt.hasLost, index !== winner);
      });
      // The response goes on after its head; no attempt is placed beside it.
      rules.free = ["late"];
      await clock.advance(10 * SILENCE_MILLISECONDS);
      assert.equal(rules.attempts.length, 3);
      rules.get(winner).end("answered");
      assert.equal(await result, "answered");
    });
  }

  test.it("lets two attempts win", async () => {
    const { result } = await startSilent("second");
    rules.get(0).attempt.win();
    assert.throws(() => rules.get(1).attempt.win());
    rules.get(0).end("first answered");
    assert.equal(await result, "first answered");
  });

  test.it("ends with a failure while another attempt runs", async () => {
    const { result } = await startSilent("second");
    rules.get(1).end("second failed");
    await clock.flush();
    assert.equal(rules.get(0).attempt.isCancelled, false);
    assert.equal(rules.get(0).attempt.isAlone, true);
    rules.get(0).end("first answered");
    assert.equal(await result, "first answered");
  });

  test.it("places no further attempt after one beside the first has failed", async () => {
    const { result } = await startSilent("second");
    rules.get(1).end("second failed");
    rules.free = ["third"];
    await clock.advance(SILENCE_MILLISECONDS);
    assert.equal(rules.get(2).placement, "third");
    rules.get(0).end("first failed");
    rules.get(2).end("third answered");
    assert.equal(await result, "third answered");
  });

  test.it("does not end after all attempts have failed", async () => {
    const { result } = await startSilent("second");
    rules.get(0).end("first failed");
    rules.get(1).end("second failed");
    assert.equal(await result, "second failed");
    rules.free = ["late"];
    await clock.advance(10 * SILENCE_MILLISECONDS);
    assert.equal(rules.attempts.length, 2);
  });

  test.it("lets others go on after one has ended the request without a win", async () => {
    const { result } = await startSilent("second");
    rules.get(1).end("second invalid");
    assert.equal(await result, "second invalid");
    assert.equal(rules.get(0).attempt.isCancelled, true);
  });

  test.it("lets attempts go on after the request has ended", async () => {
    const { result } = await startSilent("second");
    race.cancel();
    assert.ok(rules.attempts.every(({ attempt }) => attempt.isCancelled && !attempt.hasLost));
    assert.match(await result ?? "", /cancelled$/);
    rules.free = ["late"];
    await clock.advance(10 * SILENCE_MILLISECONDS);
    assert.equal(rules.attempts.length, 2);
  });

  test.it("cancels no winner at the end of the request", async () => {
    const { result } = await startSilent("second");
    rules.get(1).attempt.win();
    race.cancel();
    assert.equal(rules.get(1).attempt.isCancelled, true);
    assert.equal(await result, "second cancelled");
  });

  test.it("does not abort the waits of cancelled attempts", async () => {
    const { result } = await startSilent("second");
    const { signal } = rules.get(0).attempt;
    rules.get(1).attempt.win();
    assert.equal(signal.aborted, true);
    rules.get(1).end("second answered");
    await result;
    assert.equal(rules.get(0).attempt.signal.aborted, true);
  });

  test.it("has a result of an attempt that did not begin", async () => {
    const { result } = await startSilent("second");
    rules.get(1).end(undefined);
    await clock.flush();
    rules.get(0).end("first failed");
    assert.equal(await result, "first failed");
  });

  test.it("hides an internal error, or lets attempts go on after it", async () => {
    const { result } = await startSilent("second");
    rules.get(1).fail(new Error("internal"));
    await assert.rejects(result, /internal/);
    assert.equal(rules.get(0).attempt.isCancelled, true);
  });
});
