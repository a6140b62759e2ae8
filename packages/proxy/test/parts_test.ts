/**
 * Tests of single parts of the request path: reachability, the list of metrics and request traces.
 */

import * as assert from "node:assert/strict";
import * as fs from "node:fs";
import * as net from "node:net";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as proxy from "@hemlockwalk/proxy";
import * as harness from "./harness.ts";

const TARGET = model.createTargetId("target");

function createSilentLogger(): kernel.ComponentLogger {
  return new kernel.ComponentLogger(kernel.createSilentLogger(), "test");
}

test.test("a target that could not be reached is restored by a test connection, not by a request", async () => {
  const server = net.createServer();
  const port = await kernelTesting.claimPort();
  const reachability = new proxy.Reachability(() => `127.0.0.1:${port}`, createSilentLogger());
  try {
    reachability.recordUnreachable(TARGET);
    await kernel.sleep(700);
    assert.equal(reachability.isReachable(TARGET), false);
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
    await harness.waitFor(() => reachability.isReachable(TARGET), "the target is reached");
  } finally {
    reachability.stop();
    server.close();
  }
});

test.test("the operators' page lists each metric with its type and labels, and no other", async () => {
  const page = fs.readFileSync(
    new URL("../../../../docs/operators/platform.md", import.meta.url),
    "utf8",
  );
  const listed = [...page.matchAll(/^\| `(\w+)` +\| (\w+) +\|([^|]*)\|/gm)]
    .filter(([, name]) => name?.startsWith("hemlockwalk_"))
    .map(([, name, type, labels]) => {
      const names = [...(labels ?? "").matchAll(/`(\w+)`/g)].map((match) => match[1]);
      return `${name} ${type} ${names.sort().join(" ")}`;
    });
  const named = new Set([...page.matchAll(/\bhemlockwalk_\w+/g)].map(([name]) => name));
  await harness.withVm(0, (vm) => {
    const exported = vm.listMetrics();
    assert.deepEqual(listed.sort(), exported.sort());
    assert.deepEqual([...named].sort(), exported.map((entry) => entry.split(" ", 1)[0]).sort());
    return Promise.resolve();
  });
});

test.test("connection attempts time out relative to the usual connect time", () => {
  const reachability = new proxy.Reachability(() => undefined, createSilentLogger());
  const unknown = reachability.getConnectTimeout(TARGET);
  for (let connection = 0; connection < 20; connection++) {
    reachability.recordConnected(TARGET, 3);
  }
  assert.ok(reachability.getConnectTimeout(TARGET) < unknown);
  assert.ok(reachability.getConnectTimeout(TARGET) >= 80);
});

test.test("a flood of failures writes a bounded number of complete traces and counts the rest", async () => {
  const lines: string[] = [];
  const logger = createSilentLogger();
  logger.write = (message, fields) => lines.push(`${message.text} ${JSON.stringify(fields)}`);
  const log = new proxy.RequestLog(logger, { inc: () => undefined });
  for (let request = 0; request < 1_000; request++) {
    log.write(new proxy.RequestTrace(`request-${request}`), "timeout", 504);
  }
  const written = lines.length;
  assert.ok(written > 10 && written < 100, `${written} lines`);
  await kernel.sleep(1_050);
  log.write(new proxy.RequestTrace("last"), "timeout", 504);
  assert.match(lines[written] ?? "", new RegExp(`"count":${1_000 - written}`));
});

test.test("a promise that rests on the word of a target leaves no trace in a flood of failures", () => {
  const lines: string[] = [];
  const logger = createSilentLogger();
  logger.write = (message, fields) => lines.push(`${message.text} ${JSON.stringify(fields)}`);
  let promises = 0;
  const log = new proxy.RequestLog(logger, { inc: () => promises++ });
  const writeArrived = (id: string, status: number) => {
    const trace = new proxy.RequestTrace(id);
    trace.recordArrival();
    log.write(trace, "not_reached", status);
  };
  for (let request = 0; request < 1_000; request++) {
    log.write(new proxy.RequestTrace(`request-${request}`), "no_room", 503);
    writeArrived(`failed-${request}`, 502);
  }
  const written = lines.length;
  writeArrived("promised", 503);
  assert.match(lines[written] ?? "", /"request":"promised"/);
  for (let request = 0; request < 1_000; request++) {
    writeArrived(`promised-${request}`, 503);
  }
  assert.ok(lines.length < 100, `${lines.length} lines`);
  assert.equal(promises, 1_001);
});
