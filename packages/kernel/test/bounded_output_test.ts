/**
 * Tests of the non-blocking output.
 */

import * as assert from "node:assert/strict";
import * as stream from "node:stream";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";

const LINE = `${"x".repeat(1_023)}\n`;

test.test("a stalled reader neither blocks the process nor makes its memory grow", () => {
  const stalledSink = new stream.Writable({ write: () => undefined });
  const output = new kernel.BoundedOutput(stalledSink);
  for (let line = 0; line < 5_000; line++) {
    output.write(LINE);
  }
  assert.ok(
    stalledSink.writableLength < 600_000,
    `${stalledSink.writableLength} bytes are buffered`,
  );
  assert.ok(output.dropped > 4_000, `${output.dropped} lines dropped`);
});

test.test("a closed reader ends the log output but not the process", () => {
  const closedSink = new stream.Writable({
    write: (_chunk, _encoding, callback) => callback(new Error("closed")),
  });
  const output = new kernel.BoundedOutput(closedSink);
  output.write(LINE);
  output.write(LINE);
  assert.ok(output.dropped <= 2);
});
