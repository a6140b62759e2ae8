/**
 * Choice of targets: strategies, slots, leaving and new targets, shed calls, connection limits.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as configurationTesting from "@hemlockwalk/configuration/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as slotAllocations from "../src/slot_allocation.ts";
import * as subsets from "../src/target_subset.ts";
import * as targets from "../src/mod.ts";
import * as fixtures from "./fixtures.ts";
import * as testFleet from "./test_fleet.ts";

const [SELF] = fixtures.createIdentities(1, 1);

interface Fixture {
  readonly pool: targets.AdaptivePool;
  readonly configuration: configurationTesting.SettableConfiguration;
  readonly clock: kernelTesting.TestClock;
}

function createPool(context: test.TestContext, declaration: fixtures.Declaration): Fixture {
  const clock = new kernelTesting.TestClock();
  context.after(() => clock.restore());
  const configuration = new configurationTesting.SettableConfiguration(
    fixtures.createSnapshot(declaration),
  );
  const pool = new targets.AdaptivePool({
    self: kernel.getDefined(SELF, "There is an identity."),
    configuration,
    metrics: new kernel.Metrics(),
    logger: fixtures.createLogger(),
  }, { seed: 6_003 });
  return { pool, configuration, clock };
}

function acquire(
  pool: targets.AdaptivePool,
  exclude: ReadonlySet<model.TargetId> = new Set(),
): targets.TargetLease | undefined {
  return pool.tryAcquire({
    service: fixtures.SERVICE,
    route: fixtures.ROUTE,
    idempotent: true,
    exclude,
  });
}

function countChoices(
  pool: targets.AdaptivePool,
  count: number,
  result: (target: model.TargetId) => targets.CallResult,
): Map<model.TargetId, number> {
  const counts = new Map<model.TargetId, number>();
  for (let call = 0; call < count; call++) {
    const lease = kernel.getDefined(acquire(pool), "There are free slots.");
    const { id } = lease.target;
    counts.set(id, (counts.get(id) ?? 0) + 1);
    lease.release({ result: result(id), latencyMilliseconds: 20, route: fixtures.ROUTE });
  }
  return counts;
}

test.describe("choice", () => {
  test.it("never exceeds the slots, and releasing a lease returns its slot once", (context) => {
    const { pool } = createPool(context, { targets: 4, dataCentres: 1, slots: 3, vmLimit: 2 });
    const capacity: model.ServiceId[] = [];
    pool.onCapacity((service) => capacity.push(service));
    for (let round = 0; round < 5; round++) {
      const leases: targets.TargetLease[] = [];
      for (let lease = acquire(pool); lease !== undefined; lease = acquire(pool)) {
        leases.push(lease);
      }
      assert.equal(leases.length, 12);
      capacity.length = 0;
      for (const lease of leases) {
        const outcome = {
          result: "cancelled",
          latencyMilliseconds: 1,
          route: fixtures.ROUTE,
        } as const;
        lease.release(outcome);
        lease.release(outcome);
      }
      assert.equal(capacity.length, 12);
    }
  });

  test.it("prefers the near data centre until its targets are busy", (context) => {
    const { pool } = createPool(context, { targets: 8, dataCentres: 4, slots: 3, vmLimit: 2 });
    const leases = Array.from({ length: 24 }, () => acquire(pool));
    const dataCentres = leases.map((lease) => lease?.target.dataCentre);
    const near = fixtures.getDataCentre(0);
    assert.ok(dataCentres.slice(0, 3).every((dataCentre) => dataCentre === near));
    assert.equal(dataCentres.filter((dataCentre) => dataCentre === near).length, 6);
    assert.equal(new Set(dataCentres).size, 4);
  });

  test.it("allocates each slot to one VM, and about equally many to each VM", () => {
    const identities = fixtures.createIdentities(40, 4);
    const snapshot = fixtures.createSnapshot({ targets: 14, dataCentres: 4 });
    const declared = snapshot.listTargets(fixtures.SERVICE);
    const allocated = new Map<model.TargetId, number>();
    for (const { vm } of identities) {
      const own = slotAllocations.allocateSlots(vm, identities, declared, 6);
      const total = [...own.values()].reduce((sum, slots) => sum + slots, 0);
      assert.ok(total === 1 || total === 2 || total === 3);
      for (const [id, slots] of own) {
        allocated.set(id, (allocated.get(id) ?? 0) + slots);
      }
    }
    assert.equal(allocated.size, 14);
    assert.ok([...allocated.values()].every((slots) => slots === 6));
  });

  test.it("does not exceed the slots of busy targets over all VMs", async (context) => {
    const declaration = { targets: 6, dataCentres: 2, slots: 3, vmLimit: 10 };
    const fleet = new testFleet.TestFleet(10, declaration, 6_011);
    context.after(() => fleet.stop());
    // Calls never end, so that all slots fill up while the loads are reported repeatedly.
    fleet.rule = () => undefined;
    const counts = new Map<model.TargetId, number>();
    for (let round = 0; round < 60; round++) {
      for (let vm = 0; vm < 10; vm++) {
        const call = fleet.request(vm, false);
        if (call !== undefined) {
          counts.set(call.target.id, (counts.get(call.target.id) ?? 0) + 1);
        }
      }
      await fleet.run(1_000, 0);
    }
    const running = [...counts.values()];
    const total = running.reduce((sum, count) => sum + count, 0);
    assert.ok(total >= 18, `${total} run in 18 slots`);
    // Each VM may borrow one slot for its first request, before any load is reported.
    assert.ok(total <= 18 + 10, `${total} run in 18 slots`);
  });

  test.it("lets queued requests borrow again when no load is reported", async (context) => {
    const declaration = { targets: 4, dataCentres: 1, slots: 2, vmLimit: 8 };
    const fleet = new testFleet.TestFleet(8, declaration, 6_012);
    context.after(() => fleet.stop());
    fleet.rule = () => undefined;
    for (let round = 0; round < 10; round++) {
      for (let vm = 0; vm < 8; vm++) {
        fleet.request(vm, false);
      }
      await fleet.run(500, 0);
    }
    const index = fleet.vms.findIndex((vm) => vm !== fleet.getCoordinator());
    const { pool, identity } = fleet.getVm(index);
    assert.equal(fleet.request(index, false), undefined, "All slots are taken.");
    const notified: model.ServiceId[] = [];
    pool.onCapacity((service) => notified.push(service));
    for (const other of fleet.vms) {
      fleet.hub.getLink(other.identity.vm, identity.vm).cut = true;
    }
    await fleet.run(10_000, 0);
    assert.ok(notified.length > 0);
    assert.notEqual(fleet.request(index, false), undefined);
  });

  test.it("sends a leaving target no requests once it is declared as leaving", (context) => {
    const { pool, configuration } = createPool(context, { targets: 4, dataCentres: 1 });
    countChoices(pool, 50, () => "success");
    const leaving = new Set([1]);
    configuration.set(fixtures.createSnapshot({ targets: 4, dataCentres: 1, leaving }, 2));
    const counts = countChoices(pool, 200, () => "success");
    assert.equal(counts.get(fixtures.getTargetId(1)), undefined);
    assert.equal(counts.size, 3);
  });

  test.it("excludes the targets to which a request was already sent", (context) => {
    const { pool } = createPool(context, { targets: 3, dataCentres: 1 });
    const exclude = new Set([fixtures.getTargetId(0), fixtures.getTargetId(2)]);
    for (let call = 0; call < 5; call++) {
      assert.equal(acquire(pool, exclude)?.target.id, fixtures.getTargetId(1));
    }
    exclude.add(fixtures.getTargetId(1));
    assert.equal(acquire(pool, exclude), undefined);
  });

  test.it("starts a new target with a small share that grows over time", async (context) => {
    const { pool, configuration, clock } = createPool(context, { targets: 4, dataCentres: 1 });
    await clock.advance(20_000, 1_000);
    configuration.set(fixtures.createSnapshot({ targets: 5, dataCentres: 1 }, 2));
    const cold = countChoices(pool, 1_000, () => "success").get(fixtures.getTargetId(4)) ?? 0;
    await clock.advance(20_000, 1_000);
    const warm = countChoices(pool, 1_000, () => "success").get(fixtures.getTargetId(4)) ?? 0;
    assert.ok(cold > 0 && cold < 60, `${cold} of 1000 while cold`);
    assert.ok(warm > 140 && warm < 260, `${warm} of 1000 later`);
  });

  test.it("sends fewer requests to a target that sheds, without ejecting it", async (context) => {
    const { pool, clock } = createPool(context, { targets: 5, dataCentres: 1, floor: 0.2 });
    const shedding = fixtures.getTargetId(2);
    let shed = 0;
    let total = 0;
    for (let round = 0; round < 100; round++) {
      const counts = countChoices(pool, 10, (id) => id === shedding ? "shed" : "success");
      shed += counts.get(shedding) ?? 0;
      total += 10;
      await clock.advance(50, 50);
      pool.tick();
    }
    assert.ok(shed > 0 && shed < total / 10, `${shed} of ${total} went to the shedding target`);
    assert.equal(pool.listInUse(fixtures.SERVICE, fixtures.ROUTE).length, 5);
  });

  test.it("keeps the connections of each target within its limit in the largest fleet", () => {
    const snapshot = fixtures.createSnapshot({ targets: 50, dataCentres: 8 });
    const declared = snapshot.listTargets(fixtures.SERVICE);
    const holders = new Map<model.TargetId, number>();
    for (let index = 0; index < 825; index++) {
      const vm = model.createVmId(`vm-${index}`);
      const subset = subsets.selectSubset(vm, declared, 330, 825);
      assert.ok(subset.length >= 2);
      for (const { id } of subset) {
        holders.set(id, (holders.get(id) ?? 0) + subsets.getConnectionShare(330, 825));
      }
    }
    assert.equal(holders.size, 50);
    assert.ok(Math.max(...holders.values()) <= 330);
  });
});
