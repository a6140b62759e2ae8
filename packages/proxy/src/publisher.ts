/**
 * Replicates declarations and target changes to all VMs, whichever VM has read them from the store.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";

const DECLARATIONS_STATE = "declarations";
const TARGETS_STATE = "targets";

/** Applies updates from the store and from other VMs, and publishes the new ones to the fleet. */
export class Publisher {
  readonly #store: declarations.DeclarationStore;
  readonly #directory: declarations.TargetDirectory;
  readonly #mesh: mesh.Mesh;
  readonly #logger: kernel.ComponentLogger;

  constructor(
    store: declarations.DeclarationStore,
    directory: declarations.TargetDirectory,
    vmMesh: mesh.Mesh,
    logger: kernel.ComponentLogger,
  ) {
    this.#store = store;
    this.#directory = directory;
    this.#mesh = vmMesh;
    this.#logger = logger;
    vmMesh.addReplicatedState(DECLARATIONS_STATE, {
      digest: {
        get: () => store.current?.declarations.version ?? 0,
        isBehind: (other) => other > (store.current?.declarations.version ?? 0),
      },
      createSnapshot: () => store.current?.declarations,
      receive: (payload) =>
        this.#applyDeclarations(payload as declarations.Declarations | undefined, "peer"),
    });
    vmMesh.addReplicatedState(TARGETS_STATE, {
      digest: {
        get: () => directory.getDigest(),
        // The digest only shows that the two states differ. If the other VM's state is older, none
        // of its changes is applied.
        isBehind: (other) => other !== 0 && other !== directory.getDigest(),
      },
      createSnapshot: () => directory.listChanges(),
      receive: (payload) => this.#applyChanges(payload as declarations.TargetChange[], "peer"),
    });
  }

  get directory(): declarations.TargetDirectory {
    return this.#directory;
  }

  /** Whether this VM has no declarations yet. */
  get isEmpty(): boolean {
    return this.#store.current === undefined;
  }

  /** Publishes declarations that this VM has read from the store. */
  publishDeclarations(read: declarations.Declarations): void {
    if (this.#applyDeclarations(read, "store")) {
      this.#mesh.publish(DECLARATIONS_STATE, read);
    }
  }

  /** Publishes target changes that this VM has read from the store. */
  publishTargets(changes: readonly declarations.TargetChange[]): void {
    const applied = changes.filter((change) => this.#applyChanges([change], "store"));
    if (applied.length > 0) {
      this.#mesh.publish(TARGETS_STATE, applied);
    }
  }

  /** Removes targets that the store no longer has. */
  publishMissing(
    present: ReadonlySet<model.TargetId>,
    asOf: declarations.StoreRevision,
  ): void {
    this.publishTargets(this.#directory.listMissing(present, asOf));
  }

  #applyDeclarations(read: declarations.Declarations | undefined, from: string): boolean {
    if (read === undefined || read === null || !this.#store.apply(read)) {
      return false;
    }
    this.#logger.write(kernel.LogMessages.declarationsApplied, { version: read.version, from });
    return true;
  }

  #applyChanges(changes: readonly declarations.TargetChange[], from: string): boolean {
    let hasApplied = false;
    for (const change of changes) {
      if (!this.#directory.apply(change)) {
        continue;
      }
      hasApplied = true;
      this.#logger.write(kernel.LogMessages.targetChanged, {
        target: change.id,
        state: change.entry === undefined ? "gone" : change.entry.isDraining ? "draining" : "ready",
        revision: change.revision,
        from,
      });
    }
    return hasApplied;
  }
}
