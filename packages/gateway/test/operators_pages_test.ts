/**
 * The operators' pages match the refusals, metrics and retry reasons in the code.
 */

import assert from "node:assert/strict";
import * as fs from "node:fs";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as gateway from "../src/mod.ts";
import * as meters from "../src/meters.ts";
import * as retries from "../src/retries.ts";

const PAGE = new URL("../../../../docs/operators/refusals.md", import.meta.url);

test.describe("page of refusals", () => {
  test.it("lists each reason with its status, and no other", () => {
    const text = fs.readFileSync(PAGE, "utf8");
    const listed = [...text.matchAll(/^\| `([a-z_]+)` +\| (\d{3}) +\|/gm)].map((match) =>
      `${match[1]} ${match[2]}`
    );
    const expected = Object.values(gateway.Refusals).map((row) => `${row.reason} ${row.status}`);
    assert.deepEqual(listed.sort(), expected.sort());
  });
});

test.describe("page of the gateway", () => {
  test.it("lists each metric and each reason of retries", () => {
    const text = fs.readFileSync(new URL("gateway.md", PAGE), "utf8");
    const metrics = new kernel.Metrics();
    new meters.GatewayMeters(metrics);
    for (const { name } of metrics.registry.getMetricsAsArray()) {
      assert.ok(new RegExp(`^\\| .${name}[^a-z_]`, "m").test(text), name);
    }
    for (const reason of [...retries.RETRY_REASONS, ...retries.NO_RETRY_REASONS]) {
      assert.ok(text.includes(`- \`${reason}\`:`), reason);
    }
  });
});
