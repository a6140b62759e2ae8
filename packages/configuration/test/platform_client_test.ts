/**
 * Tests the platform client against a stand-in of the platform over HTTP.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as standins from "@hemlockwalk/standins";
import * as callBudget from "../src/call_budget.ts";
import * as counting from "../src/counters.ts";
import * as configuration from "../src/mod.ts";

const TIMEOUT_MILLISECONDS = 200;

interface Parts {
  readonly platform: standins.PlatformStandin;
  readonly client: configuration.PlatformClient;
}

function run(name: string, body: (parts: Parts) => Promise<void>): void {
  test.it(name, async () => {
    const platform = new standins.PlatformStandin();
    await platform.start();
    const client = new configuration.PlatformClient([platform.address]);
    try {
      await body({ platform, client });
    } finally {
      await client.close();
      await platform.stop();
    }
  });
}

test.describe("platform client", () => {
  run("reads values with their versions", async ({ platform, client }) => {
    const absent = await client.get("notes/1", TIMEOUT_MILLISECONDS);
    assert.equal(absent._unsafeUnwrapErr().kind, "absent");
    platform.publish("notes/1", "first");
    platform.publish("notes/1", "second");
    const value = await client.get("notes/1", TIMEOUT_MILLISECONDS);
    assert.deepEqual(value._unsafeUnwrap(), { version: 2, text: "second" });
  });

  run("ends a watch on a new value, a timeout or an abort", async ({ platform, client }) => {
    const waiting = client.watch("notes/1", 0, 60_000);
    while (platform.calls === 0) {
      await kernel.sleep(1);
    }
    platform.publish("notes/1", "first");
    assert.equal((await waiting)._unsafeUnwrap().text, "first");
    const nothing = await client.watch("notes/1", 1, 20);
    assert.equal(nothing._unsafeUnwrapErr().kind, "absent");
    const controller = new AbortController();
    const aborted = client.watch("notes/1", 1, 60_000, controller.signal);
    controller.abort();
    assert.equal((await aborted)._unsafeUnwrapErr().kind, "unreachable");
  });

  run("distinguishes kinds of failures", async ({ platform, client }) => {
    platform.publish("head", "whole value");
    platform.behaviour.unavailable = true;
    assert.equal((await client.get("head", 1_000))._unsafeUnwrapErr().kind, "unreachable");
    platform.behaviour.unavailable = false;
    platform.behaviour.silent = true;
    const silent = await client.get("head", TIMEOUT_MILLISECONDS);
    assert.equal(silent._unsafeUnwrapErr().kind, "unreachable");
    platform.behaviour.silent = false;
    platform.behaviour.callsPerSecond = 0;
    assert.equal((await client.get("head", 1_000))._unsafeUnwrapErr().kind, "over_rate");
    platform.behaviour.callsPerSecond = undefined;
    platform.behaviour.torn = true;
    assert.equal((await client.get("head", 1_000))._unsafeUnwrap().text, "whole");
    platform.behaviour.torn = false;
    platform.behaviour.visibleWrites = 0;
    assert.equal((await client.get("head", 1_000))._unsafeUnwrapErr().kind, "absent");
  });

  run("uses the next address after one does not respond", async ({ platform }) => {
    platform.publish("head", "value");
    const unused = "http://127.0.0.1:9";
    const client = new configuration.PlatformClient([unused, platform.address]);
    const results = [await client.get("head", 1_000), await client.get("head", 1_000)];
    assert.equal(results.filter((result) => result.isOk()).length, 1);
    await client.close();
  });
});

test.describe("call budget", () => {
  test.it("limits each VM to its share of the platform's call rate", async () => {
    const platform = new standins.PlatformStandin();
    await platform.start();
    const client = new configuration.PlatformClient([platform.address]);
    const counters = counting.createCounters(new kernel.Metrics());
    // In a fleet of 2,000 VMs, the share of one is half a call per second, after a burst of 8.
    const reader = new callBudget.BudgetedReader(client, () => 2_000, counters);
    const controller = new AbortController();
    const pending = Array.from(
      { length: 20 },
      () => reader.get("head", 1_000, controller.signal),
    );
    await Promise.all(pending.slice(0, 8));
    assert.equal(platform.calls, 8);
    controller.abort();
    await Promise.all(pending);
    // A call that is aborted while it waits sends no request.
    assert.equal(platform.calls, 8);
    await client.close();
    await platform.stop();
  });
});
