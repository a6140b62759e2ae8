/**
 * Tests of the time at which a signal was sent. A title names the failure that the test guards
 * against.
 */

import * as assert from "node:assert/strict";
import process from "node:process";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";

const SIGNAL = "SIGUSR2";

/** Time by which a bound may lie before the sending of a signal while the event loop turns. */
const MAX_ERROR_MILLISECONDS = 150;

function blockEventLoop(milliseconds: number): void {
  const endsAt = performance.now() + milliseconds;
  while (performance.now() < endsAt) {
    // Blocks the event loop.
  }
}

/** Lets the watch run, sends a signal and returns its bound, relative to the sending. */
async function measure(
  maxDelayMilliseconds: number,
  send: (sendNow: () => void) => void,
): Promise<number> {
  const watch = new kernel.EventLoopWatch();
  watch.start();
  // Neither the watch nor the handler of a signal keeps the event loop running.
  const keepAlive = setInterval(() => undefined, 1_000);
  try {
    await kernel.sleep(200);
    let sentAt = Number.NaN;
    const bound = new Promise<number>((resolve) =>
      process.once(SIGNAL, () => resolve(watch.getEarliestSignalTime(maxDelayMilliseconds)))
    );
    send(() => {
      sentAt = performance.now();
      process.kill(process.pid, SIGNAL);
    });
    return await bound - sentAt;
  } finally {
    clearInterval(keepAlive);
    watch.stop();
  }
}

function assertBounds(milliseconds: number): void {
  const text = `${milliseconds} ms after the signal was sent`;
  assert.ok(milliseconds <= 0 && milliseconds > -MAX_ERROR_MILLISECONDS, text);
}

test.describe("time of a signal", () => {
  test.test("a signal counts from an earlier time although the event loop turns", async () => {
    assertBounds(await measure(5_000, (sendNow) => sendNow()));
  });

  // A blocked timer is followed by other timers, and a blocked immediate as well.
  for (
    const [phase, run] of [
      ["a timer", (callback: () => void) => setTimeout(callback, 10)],
      ["an immediate", (callback: () => void) => setImmediate(callback)],
    ] as const
  ) {
    test.test(`a signal counts from its handling behind ${phase} that takes long`, async () => {
      const milliseconds = await measure(5_000, (sendNow) =>
        run(() => {
          sendNow();
          blockEventLoop(400);
        }));
      assertBounds(milliseconds);
    });
  }

  test.test("a signal counts from long ago after a standstill of unknown length", async () => {
    const milliseconds = await measure(100, (sendNow) => {
      blockEventLoop(400);
      sendNow();
    });
    assertBounds(milliseconds);
  });

  test.test("a signal counts from before the process began, or from its handling", () => {
    const watch = new kernel.EventLoopWatch();
    assert.equal(watch.getEarliestSignalTime(Number.POSITIVE_INFINITY), 0);
  });
});
