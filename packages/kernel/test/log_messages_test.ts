/**
 * Tests of the table of log messages.
 */

import * as assert from "node:assert/strict";
import * as fs from "node:fs";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as logPage from "../src/log_page.ts";

test.test("the operators' page matches the table", () => {
  const page = new URL("../../../../docs/operators/log_messages.md", import.meta.url);
  assert.equal(fs.readFileSync(page, "utf8"), logPage.formatLogPage());
});

test.test("each message has a unique number", () => {
  const codes = Object.values(kernel.LogMessages).map((message) => message.code);
  assert.equal(new Set(codes).size, codes.length);
});

test.test("a line has the number, the component and the fields of its message", () => {
  const lines: string[] = [];
  const output = { write: (line: string) => lines.push(line) } as unknown as NodeJS.WritableStream;
  const logger = new kernel.ComponentLogger(
    kernel.createOutputLogger("vm-1", "info", output),
    "mesh",
  );
  logger.write(kernel.LogMessages.linkLost, { peer: "vm-2", role: "bridge" });
  logger.write(kernel.LogMessages.targetUpdated, { target: "desk-1" });
  const [line] = lines.map((text) => JSON.parse(text) as Record<string, unknown>);
  assert.equal(lines.length, 1, "a message below the level is not written");
  const { code, vm, part, peer, role, msg } = line ?? {};
  assert.deepEqual(
    { code, vm, part, peer, role, msg },
    {
      code: 3001,
      vm: "vm-1",
      part: "mesh",
      peer: "vm-2",
      role: "bridge",
      msg: "mesh: A link was lost.",
    },
  );
});
