/**
 * Three VMs on loopback discover each other, refuse claims after a cold start, and drop a VM that
 * stops.
 */

import assert from "node:assert/strict";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as test from "node:test";
import * as claims from "@hemlockwalk/claims";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as standins from "@hemlockwalk/standins";
import * as daemon from "../src/mod.ts";

const VMS = 3;

async function startFleet(context: test.TestContext): Promise<kernel.Kernel[]> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), "hemlockwalk-peers-"));
  const secretFile = path.join(folder, "secret");
  await fs.writeFile(secretFile, "s".repeat(40));
  const platform = new standins.PlatformStandin();
  await platform.start();
  const seeds: { vm: string; address: string; dataCentre: string }[] = [];
  for (let index = 0; index < VMS; index++) {
    const address = `127.0.0.1:${await kernelTesting.claimPort()}`;
    seeds.push({ vm: `vm-${index}`, address, dataCentre: `north-${index}` });
  }
  const vms = seeds.map((seed) => {
    const settings = model.parseSettings(JSON.stringify({
      vm: seed.vm,
      dataCentre: seed.dataCentre,
      listener: { address: "127.0.0.1:0", drainLagMilliseconds: 0 },
      admin: { address: "127.0.0.1:0" },
      platform: { addresses: [platform.address] },
      peers: { address: seed.address, secretFile, seeds },
    }));
    return daemon.createVirtualMachine(settings._unsafeUnwrap(), kernel.createSilentLogger());
  });
  await Promise.all(vms.map((vm) => vm.start()));
  context.after(async () => {
    await Promise.all(vms.map((vm) => vm.stop()));
    await platform.stop();
    await fs.rm(folder, { recursive: true });
  });
  return vms;
}

async function waitForMembers(vms: readonly kernel.Kernel[], count: number): Promise<void> {
  const isReached = (vm: kernel.Kernel) => {
    const members = vm.get(fleet.MEMBERSHIP).listMembers();
    return members.length === count && members.every((member) => member.state === "live");
  };
  while (!vms.every(isReached)) {
    await kernel.sleep(20);
  }
}

test.describe("VMs with peers", () => {
  test.it("discover each other, refuse early claims, drop a stopped VM", async (context) => {
    const vms = await startFleet(context);
    await waitForMembers(vms, VMS);
    const [first, ...others] = vms;
    assert.ok(first !== undefined);
    const decision = await first.get(claims.CLAIM_STORE).claim({
      workspace: model.createWorkspaceId("antwerp"),
      idempotencyKey: "fine-7",
      fingerprint: "f",
      deadlineMilliseconds: kernel.getMonotonicMilliseconds() + 5_000,
    });
    assert.equal(decision.kind, "unavailable");
    await first.stop();
    await waitForMembers(others, VMS - 1);
  });
});
