/**
 * Passes declarations and changes of targets on to all VMs, whoever has read them from the store.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";

const DECLARATIONS_FEED = "declarations";
const TARGETS_FEED = "targets";

/** Applies what was read here or told by others, and tells the others what was new. */
export class Publisher {
  readonly #store: declarations.DeclarationStore;
  readonly #directory: declarations.TargetDirectory;
  readonly #mesh: mesh.Mesh;
  readonly #logger: kernel.PartLogger;

  constructor(
    store: declarations.DeclarationStore,
    directory: declarations.TargetDirectory,
    vmMesh: mesh.Mesh,
    logger: kernel.PartLogger,
  ) {
    this.#store = store;
    this.#directory = directory;
    this.#mesh = vmMesh;
    this.#logger = logger;
    vmMesh.addFeed(DECLARATIONS_FEED, {
      marks: {
        get: () => store.current?.declarations.version ?? 0,
        isBehind: (other) => other > (store.current?.declarations.version ?? 0),
      },
      createSnapshot: () => store.current?.declarations,
      receive: (payload) => this.#take(payload as declarations.Declarations | undefined, "peer"),
    });
    vmMesh.addFeed(TARGETS_FEED, {
      marks: {
        get: () => directory.getMark(),
        // What the other holds may be older than what is held here; then nothing of it is taken.
        isBehind: (other) => other !== 0 && other !== directory.getMark(),
      },
      createSnapshot: () => directory.listChanges(),
      receive: (payload) => this.#takeChanges(payload as declarations.TargetChange[], "peer"),
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
    if (this.#take(read, "store")) {
      this.#mesh.publish(DECLARATIONS_FEED, read);
    }
  }

  /** Publishes changes of targets that this VM has read from the store. */
  publishTargets(changes: readonly declarations.TargetChange[]): void {
    const taken = changes.filter((change) => this.#takeChanges([change], "store"));
    if (taken.length > 0) {
      this.#mesh.publish(TARGETS_FEED, taken);
    }
  }

  /** Drops targets that the store no longer has. */
  publishMissing(
    present: ReadonlySet<model.TargetId>,
    asOf: declarations.StoreRevision,
  ): void {
    this.publishTargets(this.#directory.listMissing(present, asOf));
  }

  #take(read: declarations.Declarations | undefined, from: string): boolean {
    if (read === undefined || read === null || !this.#store.apply(read)) {
      return false;
    }
    this.#logger.write(kernel.LogMessages.versionTaken, { version: read.version, from });
    return true;
  }

  #takeChanges(changes: readonly declarations.TargetChange[], from: string): boolean {
    let hasTaken = false;
    for (const change of changes) {
      if (!this.#directory.apply(change)) {
        continue;
      }
      hasTaken = true;
      this.#logger.write(kernel.LogMessages.targetChanged, {
        target: change.id,
        state: change.entry === undefined ? "gone" : change.entry.isDraining ? "draining" : "ready",
        revision: change.revision,
        from,
      });
    }
    return hasTaken;
  }
}
