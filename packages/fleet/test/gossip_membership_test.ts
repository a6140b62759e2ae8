/**
 * Views of the fleet under cut links, pauses, deaths, replacements and an outdated list.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as fc from "fast-check";
import * as simulation from "./simulated_fleet.ts";

const VMS = 8;
const DATA_CENTRES = 3;

/** A single dead VM must have left every view after this time. */
const DEATH_BOUND_MILLISECONDS = 8_000;

/** All views must agree this long after the last fault ended. */
const CONVERGENCE_MILLISECONDS = 30_000;

async function withFleet(
  action: (fleet: simulation.SimulatedFleet) => Promise<void>,
  count = VMS,
): Promise<void> {
  const fleet = new simulation.SimulatedFleet(DATA_CENTRES);
  try {
    await fleet.start(count);
    await action(fleet);
  } finally {
    await fleet.end();
  }
}

function assertViewsAgree(fleet: simulation.SimulatedFleet): void {
  const expectedView = fleet.describeExpectedView();
  for (const vm of fleet.vms.values()) {
    assert.equal(vm.describeView(), expectedView, `view of ${vm.identity.vm}`);
  }
}

async function countDeaths(fleet: simulation.SimulatedFleet): Promise<number> {
  let deaths = 0;
  for (const vm of fleet.vms.values()) {
    deaths += await vm.count("hemlockwalk_membership_deaths_total");
  }
  return deaths;
}

type Step =
  | { readonly kind: "cut" | "heal"; readonly from: number; readonly to: number }
  | { readonly kind: "pause" | "resume" | "kill" | "replace" | "list"; readonly vm: number }
  | { readonly kind: "wait"; readonly milliseconds: number };

const vmIndex = fc.integer({ min: 0, max: VMS - 1 });

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constantFrom("cut", "cut", "heal"), from: vmIndex, to: vmIndex }),
  fc.record({
    kind: fc.constantFrom("pause", "resume", "kill", "replace", "list"),
    vm: vmIndex,
  }),
  fc.record({ kind: fc.constant("wait"), milliseconds: fc.integer({ min: 100, max: 8_000 }) }),
);

async function runStep(fleet: simulation.SimulatedFleet, next: Step): Promise<void> {
  switch (next.kind) {
    case "cut":
    case "heal":
      fleet.setCut(fleet.getName(next.from), fleet.getName(next.to), next.kind === "cut");
      return;
    case "pause":
      fleet.pause(fleet.getName(next.vm));
      return;
    case "resume":
      fleet.resume(fleet.getName(next.vm));
      return;
    case "kill":
      if (fleet.vms.size > VMS / 2) {
        await fleet.kill(fleet.getName(next.vm));
      }
      return;
    case "replace":
      await fleet.kill(fleet.getName(next.vm));
      fleet.add(next.vm, fleet.listSeeds());
      return;
    case "list": {
      const recipient = fleet.vms.get(fleet.getName(next.vm));
      fleet.publishList(recipient === undefined ? [] : [recipient]);
      return;
    }
    case "wait":
      await fleet.clock.advance(next.milliseconds, 50);
  }
}

test.describe("membership", () => {
  test.it("makes all views agree after any history", async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 25 }), async (steps) => {
        await withFleet(async (fleet) => {
          for (const next of steps) {
            await runStep(fleet, next);
          }
          fleet.heal();
          fleet.publishList();
          await fleet.clock.advance(CONVERGENCE_MILLISECONDS, 50);
          assertViewsAgree(fleet);
        });
      }),
      { seed: 31, numRuns: 25 },
    );
  });

  test.it("drops no VM that is reachable both ways by others", async () => {
    const cut = fc.tuple(vmIndex, vmIndex);
    await fc.assert(
      fc.asyncProperty(fc.array(cut, { minLength: 2, maxLength: 6 }), async (cuts) => {
        await withFleet(async (fleet) => {
          const usedVms = new Map<number, number>();
          for (const [from, to] of cuts) {
            // With at most one cut at each VM, at least one of three other VMs reaches it.
            if (from !== to && !usedVms.has(from) && !usedVms.has(to)) {
              usedVms.set(from, 1).set(to, 1);
              fleet.setCut(fleet.getName(from), fleet.getName(to), true);
            }
          }
          await fleet.clock.advance(20_000, 50);
          assertViewsAgree(fleet);
          assert.equal(await countDeaths(fleet), 0);
        });
      }),
      { seed: 32, numRuns: 10 },
    );
  });

  test.it("drops a dead VM within the bound, although the list still has it", async () => {
    await withFleet(async (fleet) => {
      fleet.publishList();
      const [name] = fleet.vms.keys();
      await fleet.kill(name ?? "");
      await fleet.clock.advance(DEATH_BOUND_MILLISECONDS, 50);
      assertViewsAgree(fleet);
    });
  });

  test.it("drops no other VM when a VM can send but not receive", async () => {
    await withFleet(async (fleet) => {
      const isolated = fleet.getName(3);
      const vm = fleet.vms.get(isolated);
      assert.ok(vm);
      for (const other of fleet.vms.keys()) {
        fleet.setCut(other, isolated, other !== isolated);
      }
      await fleet.clock.advance(20_000, 50);
      const view = vm.membership.listMembers();
      assert.equal(view.length, VMS);
      assert.equal(view.find((member) => member.vm === isolated)?.state, "suspect");
      // The others drop the VM that can send but not receive, and no other VM.
      for (const other of fleet.vms.values()) {
        assert.equal(other.membership.listMembers().length, other === vm ? VMS : VMS - 1);
      }
      fleet.heal();
      await fleet.clock.advance(CONVERGENCE_MILLISECONDS, 50);
      assertViewsAgree(fleet);
    });
  });

  test.it("refuses messages of an incarnation that has been replaced", async () => {
    await withFleet(async (fleet) => {
      const earlier = fleet.vms.get(fleet.getName(4));
      assert.ok(earlier);
      // The earlier process keeps running and sending under the same identifier.
      fleet.add(4, fleet.listSeeds());
      await fleet.clock.advance(20_000, 50);
      assertViewsAgree(fleet);
      const refusals = await Promise.all(
        [...fleet.vms.values()].map((vm) =>
          vm.count("hemlockwalk_membership_refused_messages_total")
        ),
      );
      assert.ok(refusals.some((count) => count > 0));
      const stopped = earlier.membership.stop();
      await fleet.clock.advance(CONVERGENCE_MILLISECONDS, 50);
      await stopped;
      assertViewsAgree(fleet);
    });
  });

  test.it("joins two regions after a partition that outlasts the entries of dead VMs", async () => {
    await withFleet(async (fleet) => {
      const isNorth = (name: string) => Number(name.slice(3)) % DATA_CENTRES === 0;
      for (const from of fleet.vms.keys()) {
        for (const to of fleet.vms.keys()) {
          fleet.setCut(from, to, isNorth(from) !== isNorth(to));
        }
      }
      await fleet.clock.advance(120_000, 50);
      for (const vm of fleet.vms.values()) {
        const own = vm.membership.listMembers().map((member) => isNorth(member.vm));
        assert.ok(own.every((side) => side === isNorth(vm.identity.vm)));
      }
      fleet.heal();
      await fleet.clock.advance(CONVERGENCE_MILLISECONDS, 50);
      assertViewsAgree(fleet);
    }, 9);
  });
});
