/**
 * End to end in one process: a release note is published, then requests are forwarded.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as configuration from "@hemlockwalk/configuration";
import * as gateway from "@hemlockwalk/gateway";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as standins from "@hemlockwalk/standins";
import * as daemon from "../src/mod.ts";

const KEY = "inspector-key";

function createFirstNote(targetAddress: string): string {
  return JSON.stringify({
    format: 1,
    number: 1,
    previous: null,
    fleet: { vmLimit: 1 },
    added: {
      workspaces: [{ id: "antwerp", rate: 1_000, burst: 1_000 }],
      keys: [{ digest: model.createKeyDigest(KEY), workspace: "antwerp" }],
      services: [{ id: "inspection", slots: 6, connections: 330 }],
      targets: [{
        id: "inspection-1",
        service: "inspection",
        address: targetAddress,
        dataCentre: "north-1",
      }],
      routes: [{ id: "fines", pathPrefix: "/fines", service: "inspection" }],
    },
  });
}

function createSettings(platformAddress: string): model.Settings {
  const settings = model.parseSettings(JSON.stringify({
    vm: "vm-1",
    dataCentre: "north-1",
    listener: { address: "127.0.0.1:0", drainLagMilliseconds: 0 },
    admin: { address: "127.0.0.1:0" },
    platform: { addresses: [platformAddress] },
  }));
  return settings._unsafeUnwrap();
}

test.describe("end to end", () => {
  test.it("serves a keyed request and refuses an unknown key", async (context) => {
    const platform = new standins.PlatformStandin();
    const target = new standins.TargetStandin("inspection-1");
    await platform.start();
    await target.start();
    const services = daemon.createVirtualMachine(
      createSettings(platform.address),
      kernel.createSilentLogger(),
    );
    await services.start();
    context.after(async () => {
      await services.stop();
      await platform.stop();
      await target.stop();
    });
    platform.publish(configuration.getNoteKey(1), createFirstNote(target.address));
    await kernelTesting.waitFor(
      () => services.get(configuration.CONFIGURATION).isReady(),
      "the first note is applied",
    );
    // A new VM starts without tokens; waits until some have accrued.
    await kernel.sleep(20);

    const address = `http://127.0.0.1:${services.get(gateway.GATEWAY).port}`;
    const served = await fetch(`${address}/fines/7?q=1`, {
      method: "POST",
      headers: { authorization: `Bearer ${KEY}` },
      body: "fine",
    });
    assert.equal(served.status, 200);
    assert.equal(await served.text(), "inspection-1 ran POST /fines/7?q=1\nfine");
    assert.equal(target.received[0]?.headers.authorization, undefined);
    assert.equal(target.received[0]?.headers["hemlockwalk-workspace"], "antwerp");

    const refused = await fetch(`${address}/fines/7`, { headers: { authorization: "Bearer x" } });
    assert.equal(refused.status, 401);
    assert.equal(refused.headers.get("hemlockwalk-run"), "no");
    const problem = await refused.json() as { reason: string };
    assert.equal(problem.reason, "key_unknown");
    assert.equal(target.received.length, 1);
  });
});
