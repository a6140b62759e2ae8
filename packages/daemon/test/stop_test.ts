/**
 * On SIGTERM, the daemon turns unready immediately, completes all requests and exits with code 0.
 */

import assert from "node:assert/strict";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as test from "node:test";
import * as url from "node:url";
import * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as standins from "@hemlockwalk/standins";

const BINARY = url.fileURLToPath(new URL("../src/main.js", import.meta.url));

function createFirstNote(targetAddress: string): string {
  return JSON.stringify({
    format: 1,
    number: 1,
    previous: null,
    fleet: { vmLimit: 1 },
    added: {
      services: [{ id: "permits", slots: 6, connections: 330 }],
      targets: [{
        id: "permits-1",
        service: "permits",
        address: targetAddress,
        dataCentre: "north-1",
      }],
      routes: [{ id: "pitches", pathPrefix: "/pitches", service: "permits", open: true }],
    },
  });
}

async function waitForStatus(address: string, status: number): Promise<void> {
  for (;;) {
    const received = await fetch(address).then((answer) => answer.status, () => undefined);
    if (received === status) {
      return;
    }
    await kernel.sleep(10);
  }
}

test.describe("SIGTERM", () => {
  test.it("completes all requests, and the VM reports that it is not ready", async (context) => {
    const platform = new standins.PlatformStandin();
    const target = new standins.TargetStandin("permits-1");
    await platform.start();
    await target.start();
    platform.publish(configuration.getNoteKey(1), createFirstNote(target.address));
    const [port, adminPort] = [await kernelTesting.claimPort(), await kernelTesting.claimPort()];
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hemlockwalk-stop-"));
    const file = path.join(folder, "settings.jsonc");
    fs.writeFileSync(
      file,
      JSON.stringify({
        vm: "vm-1",
        dataCentre: "north-1",
        listener: { address: `127.0.0.1:${port}`, drainLagMilliseconds: 300 },
        admin: { address: `127.0.0.1:${adminPort}` },
        platform: { addresses: [platform.address] },
      }),
    );
    const daemon = childProcess.spawn(process.execPath, [BINARY, "run", file], {
      stdio: "ignore",
    });
    const exit = new Promise<number | null>((resolve) => daemon.once("exit", resolve));
    context.after(async () => {
      daemon.kill("SIGKILL");
      await platform.stop();
      await target.stop();
      fs.rmSync(folder, { recursive: true });
    });
    const ready = `http://127.0.0.1:${adminPort}/ready`;
    await waitForStatus(ready, 200);

    target.delayMilliseconds = 1_000;
    const early = fetch(`http://127.0.0.1:${port}/pitches/1`);
    while (target.received.length === 0) {
      await kernel.sleep(5);
    }
    daemon.kill("SIGTERM");
    await waitForStatus(ready, 503);
    // The balancer may still send requests until it notices.
    const late = await fetch(`http://127.0.0.1:${port}/pitches/2`);
    assert.equal(late.headers.get("connection"), "close");
    assert.match(await late.text(), /ran GET \/pitches\/2/);
    assert.match(await (await early).text(), /ran GET \/pitches\/1/);
    assert.equal(await exit, 0);
    assert.equal(target.received.length, 2);
  });
});
