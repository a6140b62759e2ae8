/**
 * The operators' pages list exactly the metrics that a VM with peers exports.
 */

import assert from "node:assert/strict";
import * as fs from "node:fs";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as daemon from "../src/mod.ts";

const PAGES = new URL("../../../../docs/operators/", import.meta.url);

/** The page of a different program, which the tests of `proxy` check. */
const PLATFORM_PAGE = "platform.md";
const ROW = /^\| `(\w+)` +\| (\w+) +\|([^|]*)\|/gm;

/** Fields of a registered metric, which the registry's own types only partly declare. */
interface ExportedMetric {
  readonly name: string;
  readonly type: string;
  readonly labelNames: readonly string[];
}

function listExportedMetrics(): string[] {
  const settings = model.parseSettings(JSON.stringify({
    vm: "vm-1",
    dataCentre: "north-1",
    listener: { address: "127.0.0.1:0" },
    admin: { address: "127.0.0.1:0" },
    platform: { addresses: ["http://127.0.0.1:1"] },
    peers: {
      address: "127.0.0.1:1",
      secretFile: "secret",
      seeds: [{ vm: "vm-2", address: "127.0.0.1:2", dataCentre: "north-1" }],
    },
  }))._unsafeUnwrap();
  const vm = daemon.createVirtualMachine(settings, kernel.createSilentLogger());
  const metrics = vm.get(kernel.METRICS).registry.getMetricsAsArray() as unknown;
  return (metrics as ExportedMetric[]).map(({ name, type, labelNames }) =>
    `${name} ${type} ${[...labelNames].sort().join(" ")}`
  );
}

test.describe("operators' pages", () => {
  test.it("list each metric with its type and labels, and no other", () => {
    const text = fs.readFileSync(new URL("metrics.md", PAGES), "utf8");
    const listed = [...text.matchAll(ROW)].map(([, name, type, labels]) => {
      const names = [...(labels ?? "").matchAll(/`(\w+)`/g)].map((match) => match[1]);
      return `${name} ${type} ${names.sort().join(" ")}`;
    });
    assert.deepEqual(listed.sort(), listExportedMetrics().sort());
  });

  test.it("name no metric that is not exported", () => {
    const exported = listExportedMetrics().map((entry) => entry.split(" ", 1)[0] ?? "");
    for (const page of fs.readdirSync(PAGES).filter((name) => name !== PLATFORM_PAGE)) {
      const text = fs.readFileSync(new URL(page, PAGES), "utf8");
      for (const [name] of text.matchAll(/\bhemlockwalk_\w+/g)) {
        // A page may refer to all metrics that share a prefix.
        const isKnown = name.endsWith("_")
          ? exported.some((other) => other.startsWith(name))
          : exported.includes(name);
        assert.ok(isKnown, `${page}: ${name}`);
      }
    }
  });
});
