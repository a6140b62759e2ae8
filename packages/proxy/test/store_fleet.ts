/**
 * VMs that follow one store, which turns some of them away, over a mesh on loopback.
 */

import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as proxy from "@hemlockwalk/proxy";
import * as neverthrow from "neverthrow";

/** How the store treats a VM. */
export type Access = "open" | "reset" | "busy" | "silent";

/** Time after which a client of the store gives up a read, and a watch beyond its wait. */
const READ_TIMEOUT_MILLISECONDS = 1_500;
const WATCH_TIMEOUT_MARGIN_MILLISECONDS = 800;

const WATCH_POLL_MILLISECONDS = 5;

type UpdateResult = neverthrow.Result<declarations.StoreUpdate, declarations.StoreFailure>;

/** The content of the store. Each write of declarations or of a target is a new version. */
export class SharedStore {
  readonly writtenAt = new Map<number, number>();
  readonly #targets = new Map<model.TargetId, declarations.TargetChange>();
  version = 1;

  /** Writes the next version of the declarations and returns it. */
  write(): number {
    this.version++;
    this.writtenAt.set(this.version, performance.now());
    return this.version;
  }

  registerTarget(id: string): void {
    const change = fixtures.createChange(id, this.write());
    this.#targets.set(change.id, change);
  }

  removeTarget(id: string): void {
    const change = fixtures.createRemoval(id, this.write());
    this.#targets.set(change.id, change);
  }

  /** The entries, or with a revision the changes since then. */
  createUpdate(after?: number): declarations.StoreUpdate {
    const changes = [...this.#targets.values()].filter(({ position, entry }) =>
      after === undefined ? entry !== undefined : position.revision > after
    );
    return {
      asOf: fixtures.createPosition(this.version),
      declarations: fixtures.createDeclarations(this.version),
      changes,
      evacuations: [],
    };
  }
}

/** The store as one VM reaches it. */
class VmStore implements declarations.PublishedStore {
  readonly #shared: SharedStore;
  access: Access = "open";

  constructor(shared: SharedStore) {
    this.#shared = shared;
  }

  read(): Promise<UpdateResult> {
    return this.#answer(READ_TIMEOUT_MILLISECONDS);
  }

  async watch(after: declarations.StorePosition, waitMilliseconds: number): Promise<UpdateResult> {
    const startedAt = performance.now();
    while (
      this.access === "open" && this.#shared.version <= after.revision &&
      performance.now() < startedAt + waitMilliseconds
    ) {
      await kernel.sleep(WATCH_POLL_MILLISECONDS);
    }
    const elapsed = performance.now() - startedAt;
    const silence = waitMilliseconds + WATCH_TIMEOUT_MARGIN_MILLISECONDS - elapsed;
    return await this.#answer(silence, after.revision);
  }

  async #answer(silenceMilliseconds: number, after?: number): Promise<UpdateResult> {
    switch (this.access) {
      case "reset":
        return neverthrow.err("unavailable");
      case "busy":
        return neverthrow.err("rejected");
      case "silent":
        await kernel.sleep(silenceMilliseconds);
        return neverthrow.err("unavailable");
      case "open":
        return neverthrow.ok(this.#shared.createUpdate(after));
    }
  }
}

/** One VM of the fleet, and when it applied each version. */
export class StoreVm {
  readonly store: VmStore;
  readonly mesh: mesh.Mesh;
  readonly directory = new declarations.TargetDirectory();
  readonly #declarations = new declarations.DeclarationStore();
  readonly #follower: proxy.StoreFollower;
  readonly #shared: SharedStore;
  readonly #appliedAt = new Map<number, number>();

  constructor(
    identity: mesh.MemberIdentity,
    seeds: readonly string[],
    shared: SharedStore,
  ) {
    const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "test");
    this.#shared = shared;
    this.store = new VmStore(shared);
    this.mesh = new mesh.Mesh({ self: identity, listSeeds: () => seeds, logger });
    this.#declarations.onVersion(({ declarations: { version } }) =>
      this.#appliedAt.set(version, performance.now())
    );
    const metrics = new kernel.Metrics();
    const publisher = new proxy.Publisher(
      this.#declarations,
      this.directory,
      new declarations.Evacuations(),
      this.mesh,
      logger,
      metrics,
    );
    this.#follower = new proxy.StoreFollower({
      store: this.store,
      mesh: this.mesh,
      publisher,
      logger,
      metrics,
      isFirstStart: true,
    });
  }

  get version(): number {
    return this.#declarations.current?.declarations.version ?? 0;
  }

  async start(): Promise<void> {
    await this.mesh.start();
    this.#follower.start();
  }

  stop(): void {
    this.#follower.stop();
    this.mesh.stop();
  }

  /** Time in milliseconds from the write of each version until it or a later one was applied. */
  listDelays(versions: readonly number[]): number[] {
    return versions.map((version) => {
      const times = [...this.#appliedAt].filter(([other]) => other >= version);
      const writtenAt = kernel.getDefined(
        this.#shared.writtenAt.get(version),
        "Only written versions are asked for.",
      );
      return Math.min(...times.map(([, at]) => at)) - writtenAt;
    });
  }
}

/** Runs a test with a fleet of VMs, by data centre and rank, once all follow the store. */
export async function withStoreFleet(
  dataCentres: number,
  vmsPerDataCentre: number,
  run: (vms: readonly (readonly StoreVm[])[], store: SharedStore) => Promise<void>,
): Promise<void> {
  const shared = new SharedStore();
  const count = dataCentres * vmsPerDataCentre;
  const ports = await Promise.all(
    Array.from({ length: count }, () => kernelTesting.claimPort()),
  );
  const seeds = ports.slice(-3).map((port) => `127.0.0.1:${port}`);
  const vms = ports.map((port, index) => {
    const rank = index % vmsPerDataCentre;
    const dataCentre = `centre-${Math.floor(index / vmsPerDataCentre)}`;
    return new StoreVm(
      {
        vm: model.createVmId(`${dataCentre}-${rank}`),
        incarnation: model.createIncarnation(),
        dataCentre: model.createDataCentreId(dataCentre),
        address: `127.0.0.1:${port}`,
        tag: port,
        capacity: vmsPerDataCentre - rank,
      },
      seeds,
      shared,
    );
  });
  try {
    await Promise.all(vms.map((vm) => vm.start()));
    await kernelTesting.waitFor(
      () => vms.every((vm) => vm.mesh.size === count && vm.version === shared.version),
      "all VMs track each other and hold the declarations",
    );
    await run(
      Array.from(
        { length: dataCentres },
        (_, index) => vms.slice(index * vmsPerDataCentre, (index + 1) * vmsPerDataCentre),
      ),
      shared,
    );
  } finally {
    vms.forEach((vm) => vm.stop());
  }
}
