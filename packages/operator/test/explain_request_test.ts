/**
 * Extraction of request traces from logs of several VMs, with truncated lines, prefixes and clocks
 * that differ.
 */

import * as assert from "node:assert/strict";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as test from "node:test";
import * as url from "node:url";

const BINARY = url.fileURLToPath(new URL("../src/main.js", import.meta.url));

const START = Date.parse("2026-10-27T15:01:01.000Z");

function createLine(vm: string, at: number, msg: string, fields: Record<string, unknown>): string {
  const time = new Date(START + at).toISOString();
  const common = { name: "hemlockwalk", vm, hostname: vm, pid: 7, level: 30 };
  return JSON.stringify({ ...common, ...fields, msg, time, v: 0 });
}

function createTrace(vm: string, at: number, request: string, outcome: string, status: number) {
  const steps = JSON.stringify([
    { at: 0, step: "accepted", route: "bookings", version: 7 },
    { at: 1, step: "placed", target: "desk-1", load: 2, slots: 6, sickness: 0.4 },
    { at: 31, step: "answered", target: "desk-1", status },
  ]);
  return createLine(vm, at, "requests: A request has ended.", { request, outcome, status, steps });
}

function createSuspicion(vm: string, at: number, target: string): string {
  return createLine(vm, at, "targets: A target is suspected.", {
    part: "targets",
    target,
    sickness: 0.9,
  });
}

function run(input: string, ...words: string[]) {
  const result = childProcess.spawnSync(process.execPath, [BINARY, "explain-request", ...words], {
    input,
    encoding: "utf8",
  });
  return { code: result.status, out: result.stdout, errors: result.stderr };
}

test.describe("explain-request", () => {
  test.it("prints the steps and the lines that the VM logged before, from standard input", () => {
    const log = [
      createSuspicion("vm-1", -60_000, "desk-1"),
      createSuspicion("vm-1", -2_000, "desk-1"),
      createSuspicion("vm-1", -1_000, "desk-2"),
      // The clock of this VM is ahead; its lines are not part of the context.
      createSuspicion("vm-2", 500, "desk-1"),
      createLine("vm-1", -500, "store: The store gives no answer.", { failure: "unavailable" }),
      createTrace("vm-1", 0, "request-1", "answered", 500),
      createTrace("vm-2", 900, "request-2", "answered", 200),
      createSuspicion("vm-1", 3_000, "desk-1"),
    ];
    const { code, out } = run(log.join("\n"), "request-1");
    assert.equal(code, 0);
    const lines = out.trimEnd().split("\n");
    assert.deepEqual(lines, [
      "request request-1 at vm-1, ended 2026-10-27T15:01:01.000Z: answered, status 500",
      "  +0 ms  accepted  route=bookings  version=7",
      "  +1 ms  placed  target=desk-1  load=2  slots=6  sickness=0.4",
      "  +31 ms  answered  target=desk-1  status=500",
      "  before, on the same VM:",
      "  -1969 ms  targets: A target is suspected.  target=desk-1  sickness=0.9",
      "  -469 ms  store: The store gives no answer.  failure=unavailable",
    ]);
  });

  test.it("accepts truncated lines, prefixes and lines of other programs", () => {
    const trace = createTrace("vm-1", 0, "request-1", "no_room", 503);
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hemlockctl-"));
    try {
      const files = ["one.log", "two.log"].map((name) => path.join(folder, name));
      fs.writeFileSync(files[0] ?? "", `${trace.slice(0, 90)}\nunrelated\n{"a":1}\n`);
      fs.writeFileSync(files[1] ?? "", `   1.25 vm-1 ${trace}\n${trace.slice(0, 40)}`);
      const { code, out } = run("", "request-1", ...files);
      assert.equal(code, 0);
      assert.match(out, /^request request-1 at vm-1, .*: no_room, status 503\n/);
    } finally {
      fs.rmSync(folder, { recursive: true });
    }
  });

  test.it("prints the possible reasons for a missing trace", () => {
    const omitted = createLine("vm-1", 0, "requests: Stories of requests were left out.", {
      count: 12,
    });
    const { code, out, errors } = run(`${omitted}\n{"truncated`, "request-9");
    assert.equal(code, 5);
    assert.equal(out, "");
    assert.match(errors, /no story of the request 'request-9'/);
    assert.match(errors, /read: 2 lines, 1 of them torn, of 1 VMs/);
    assert.match(errors, /left out to bound the volume: 12/);
    const missing = run("", "request-9", "/nowhere/vm.log");
    assert.equal(missing.code, 2);
    assert.match(missing.errors, /cannot be read/);
  });
});
