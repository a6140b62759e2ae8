/**
 * Tests that the tool shows which data centres are evacuated, and VMs that do not agree on them.
 */

import * as assert from "node:assert/strict";
import * as childProcess from "node:child_process";
import * as http from "node:http";
import process from "node:process";
import * as test from "node:test";
import * as url from "node:url";
import * as kernel from "@hemlockwalk/kernel";

const BINARY = url.fileURLToPath(new URL("../src/main.js", import.meta.url));

/** The metrics page of a VM as its program exports it. */
function createPage(evacuated: readonly (readonly [string, number])[]): Promise<string> {
  const metrics = new kernel.Metrics();
  metrics.createGauge("hemlockwalk_evacuated_data_centres", "Count.", () => evacuated.length);
  metrics.createLabelledGauge(
    "hemlockwalk_evacuated_seconds",
    "Ages.",
    "data_centre",
    () => evacuated,
  );
  return metrics.registry.metrics();
}

/** Runs the tool on VMs with the given pages. */
async function run(pages: readonly string[]): Promise<{ code: number; out: string; err: string }> {
  const servers = pages.map((page) =>
    http.createServer((_request, response) => response.end(page))
  );
  try {
    const addresses: string[] = [];
    for (const server of servers) {
      await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
      const address = server.address();
      assert.ok(typeof address === "object" && address !== null);
      addresses.push(`127.0.0.1:${address.port}`);
    }
    return await new Promise((resolve) => {
      childProcess.execFile(
        process.execPath,
        [BINARY, "evacuations", ...addresses],
        (error, out, err) => {
          const text = addresses.reduce(
            (left, one, index) => left.replace(one, `vm-${index}`),
            out,
          );
          resolve({ code: Number(error?.code ?? 0), out: text, err });
        },
      );
    });
  } finally {
    servers.forEach((server) => server.close());
  }
}

test.describe("hemlockctl evacuations", () => {
  test.test("shows the data centres and since when", async () => {
    const page = await createPage([["south", 7], ["north", 12]]);
    const { code, out } = await run([page, page]);
    const line = "north since 12 s, south since 7 s";
    assert.deepEqual([code, out], [0, `vm-0 ${line}\nvm-1 ${line}\n`]);
    assert.equal((await run([await createPage([])])).out, "vm-0 none\n");
  });

  test.test("a VM that lacks an order, or follows none, is an alarm", async () => {
    const lacking = await run([await createPage([["north", 12]]), await createPage([])]);
    assert.equal(lacking.code, 4);
    assert.match(lacking.err, /do not agree/);
    const earlier = await run(["hemlockwalk_requests_total 4\n"]);
    assert.equal(earlier.code, 4);
    assert.match(earlier.err, /follows no orders/);
  });
});
