/**
 * Tests of the output that never blocks.
 */

import * as assert from "node:assert/strict";
import * as stream from "node:stream";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";

const LINE = `${"x".repeat(1_023)}\n`;

test.test("a reader that stops reading neither blocks nor grows the process", () => {
  const stuck = new stream.Writable({ write: () => undefined });
  const output = new kernel.BoundedOutput(stuck);
  for (let line = 0; line < 5_000; line++) {
    output.write(LINE);
  }
  assert.ok(stuck.writableLength < 600_000, `${stuck.writableLength} bytes wait`);
  assert.ok(output.dropped > 4_000, `${output.dropped} lines dropped`);
});

test.test("a reader that has gone away ends the log, not the process", () => {
  const gone = new stream.Writable({
    write: (_chunk, _encoding, callback) => callback(new Error("gone")),
  });
  const output = new kernel.BoundedOutput(gone);
  output.write(LINE);
  output.write(LINE);
  assert.ok(output.dropped <= 2);
});
