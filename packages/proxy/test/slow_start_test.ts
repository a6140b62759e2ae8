/**
 * Guards against removals that a VM holds back because it takes the time before its first response
 * of the store for an outage.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as proxy from "@hemlockwalk/proxy";
import * as neverthrow from "neverthrow";

/** Longer than the silence of the store that counts as an outage. */
const SLOW_MILLISECONDS = 2_300;

const GONE = model.createTargetId("gone");
const STAYS = model.createTargetId("stays");

type Read = () => ReturnType<declarations.PublishedStore["read"]>;

/** Runs a VM that has started again, knows a target from another VM, and reads the store. */
async function findAfterRead(
  clock: kernelTesting.TestClock,
  read: Read,
): Promise<declarations.TargetEntry | undefined> {
  const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "test");
  const metrics = new kernel.Metrics();
  const vmMesh = new mesh.Mesh({
    self: {
      vm: model.createVmId("vm"),
      incarnation: model.createIncarnation(),
      dataCentre: model.createDataCentreId("north"),
      address: "127.0.0.1:1",
      tag: 1,
      capacity: 5,
    },
    listSeeds: () => [],
    logger,
  });
  const store = new declarations.DeclarationStore();
  store.apply(fixtures.createDeclarations(1));
  const directory = new declarations.TargetDirectory();
  [GONE, STAYS].forEach((id, index) => directory.apply(fixtures.createChange(id, index + 1)));
  const publisher = new proxy.Publisher(
    store,
    directory,
    new declarations.Evacuations(),
    vmMesh,
    logger,
    metrics,
  );
  const follower = new proxy.StoreFollower({
    store: { read, watch: read },
    mesh: vmMesh,
    publisher,
    logger,
    metrics,
    isFirstStart: false,
  });
  follower.start();
  await clock.advance(2 * SLOW_MILLISECONDS);
  follower.stop();
  return directory.find(GONE);
}

const UPDATE: declarations.StoreUpdate = {
  asOf: fixtures.createPosition(10),
  declarations: undefined,
  changes: [fixtures.createChange(STAYS, 2)],
  evacuations: [],
};

async function withClock(run: (clock: kernelTesting.TestClock) => Promise<void>): Promise<void> {
  const clock = new kernelTesting.TestClock();
  try {
    await run(clock);
  } finally {
    clock.restore();
  }
}

test.describe("a VM whose first response of the store comes late", () => {
  test.test("keeps a removed target, though no call has failed", async () => {
    await withClock(async (clock) => {
      const read = async () => {
        await kernel.sleep(SLOW_MILLISECONDS);
        return neverthrow.ok(UPDATE);
      };
      assert.equal(await findAfterRead(clock, read), undefined);
    });
  });

  test.test("drops what lapsed while its calls failed", async () => {
    await withClock(async (clock) => {
      const startedAt = kernel.getMonotonicMilliseconds();
      const read = async () => {
        await kernel.sleep(100);
        return kernel.getMonotonicMilliseconds() - startedAt < 1.5 * SLOW_MILLISECONDS
          ? neverthrow.err("unavailable" as const)
          : neverthrow.ok(UPDATE);
      };
      assert.notEqual(await findAfterRead(clock, read), undefined);
    });
  });
});
