/**
 * Reads the store for the whole fleet, with few calls.
 *
 * The first VM of some data centres reads; all others get what was read over the mesh. Whoever has
 * heard of no answer of the store for too long, from anybody, reads too: that way a VM whose peers
 * are cut off or turned away still learns within the bounds. Ranks keep the whole fleet from asking
 * at once.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as feeds from "./publisher.ts";

/** Data centres whose first VM reads. Three at once fail rarely. */
const READING_DATA_CENTRES = 3;

/** Longest wait of one watch; a watch that stays silent beyond it shows a dead connection. */
const WATCH_MILLISECONDS = 1_200;

/** Changes that come in quick succession are read in one call. */
const MIN_WATCH_INTERVAL_MILLISECONDS = 150;

/** A VM that is not a reader reads after so long without any answer of the store. */
const STALE_MILLISECONDS = 1_800;
const STALE_PER_RANK_MILLISECONDS = 250;
const MAX_RANK = 8;

/** Time for the mesh to form before a VM takes itself for a reader. */
const MIN_START_DELAY_MILLISECONDS = 500;
const MAX_START_DELAY_MILLISECONDS = 1_500;

/** A VM that replaces another has callers waiting: it reads soon unless its peers were faster. */
const RESTART_DELAY_MILLISECONDS = 60;

/** Beyond that, it reads also when a peer was asked. A small link takes half a second for a lot. */
const MAX_ANSWER_MILLISECONDS = 800;
const ANSWER_POLL_MILLISECONDS = 20;

const MIN_BACKOFF_MILLISECONDS = 200;
const MAX_BACKOFF_MILLISECONDS = 1_500;

const IDLE_POLL_MILLISECONDS = 100;

/** Without any answer for so long, the store is taken to have been away. */
const OUTAGE_MILLISECONDS = 2_000;

/** Entries that lapsed while the store was away come back within two seconds of its return. */
const RETURN_MILLISECONDS = 2_300;

/** Follows the store when this VM has to. */
export class StoreFollower implements kernel.Service {
  readonly #store: declarations.PublishedStore;
  readonly #mesh: mesh.Mesh;
  readonly #publisher: feeds.Publisher;
  readonly #logger: kernel.PartLogger;
  readonly #isFirstStart: boolean;
  readonly #stopping = new AbortController();
  readonly #startedAt = kernel.getMonotonicMilliseconds();
  #asOf: declarations.StoreRevision | undefined;
  #isAvailable = true;
  #failures = 0;
  #returnedAt = Number.NEGATIVE_INFINITY;
  #heldGone: declarations.TargetChange[] = [];

  constructor(
    store: declarations.PublishedStore,
    vmMesh: mesh.Mesh,
    publisher: feeds.Publisher,
    logger: kernel.PartLogger,
    isFirstStart: boolean,
  ) {
    this.#isFirstStart = isFirstStart;
    this.#store = store;
    this.#mesh = vmMesh;
    this.#publisher = publisher;
    this.#logger = logger;
  }

  start(): void {
    void this.#follow();
  }

  /** Does not wait for a watch under way: its answer is dropped. */
  stop(): void {
    this.#stopping.abort();
  }

  async #follow(): Promise<void> {
    const { signal } = this.#stopping;
    await this.#waitForPeers();
    while (!signal.aborted) {
      this.#releaseHeldGone();
      if (!this.#mustRead()) {
        this.#asOf = undefined;
        await kernel.sleep(IDLE_POLL_MILLISECONDS, signal);
        continue;
      }
      const startedAt = kernel.getMonotonicMilliseconds();
      const isRead = await this.#readOnce();
      const elapsed = kernel.getMonotonicMilliseconds() - startedAt;
      const pause = isRead ? MIN_WATCH_INTERVAL_MILLISECONDS - elapsed : this.#getBackoff();
      await kernel.sleep(Math.max(0, pause), signal);
    }
  }

  async #waitForPeers(): Promise<void> {
    const { signal } = this.#stopping;
    if (!this.#isFirstStart) {
      await kernel.sleep(RESTART_DELAY_MILLISECONDS, signal);
      await this.#waitForAnswer();
      if (this.#publisher.isEmpty) {
        await this.#readOnce();
      }
      return;
    }
    await kernel.sleep(MIN_START_DELAY_MILLISECONDS, signal);
    const endsAt = this.#startedAt + MAX_START_DELAY_MILLISECONDS;
    while (
      !signal.aborted && !this.#mesh.isLinked && kernel.getMonotonicMilliseconds() < endsAt
    ) {
      await kernel.sleep(IDLE_POLL_MILLISECONDS, signal);
    }
  }

  /** Waits for declarations that a peer was asked for, which may be large. */
  async #waitForAnswer(): Promise<void> {
    const endsAt = kernel.getMonotonicMilliseconds() + MAX_ANSWER_MILLISECONDS;
    while (
      this.#publisher.isEmpty && this.#mesh.isAwaitingFeeds && !this.#stopping.signal.aborted &&
      kernel.getMonotonicMilliseconds() < endsAt
    ) {
      await kernel.sleep(ANSWER_POLL_MILLISECONDS, this.#stopping.signal);
    }
  }

  #mustRead(): boolean {
    const readers = this.#mesh.rankRelays().slice(0, READING_DATA_CENTRES);
    if (readers.some((reader) => reader.vm === this.#mesh.self.vm)) {
      return true;
    }
    const ranked = this.#mesh.rankOwnDataCentre();
    const rank = ranked.findIndex((member) => member.vm === this.#mesh.self.vm);
    const patience = STALE_MILLISECONDS + Math.min(rank, MAX_RANK) * STALE_PER_RANK_MILLISECONDS;
    return this.#getAge() > patience;
  }

  /** Time since the store's latest answer to any VM, or since the start, in milliseconds. */
  #getAge(): number {
    return kernel.getMonotonicMilliseconds() - Math.max(this.#mesh.confirmedAt, this.#startedAt);
  }

  async #readOnce(): Promise<boolean> {
    const since = this.#asOf;
    const result = since === undefined
      ? await this.#store.read()
      : await this.#store.watch(since, WATCH_MILLISECONDS);
    if (this.#stopping.signal.aborted) {
      return false;
    }
    if (result.isErr()) {
      this.#noteFailure(result.error);
      return false;
    }
    this.#noteAnswer();
    this.#asOf = result.value.asOf;
    this.#publish(result.value, since === undefined);
    return true;
  }

  #publish(update: declarations.StoreUpdate, isWhole: boolean): void {
    if (update.declarations !== undefined) {
      this.#publisher.publishDeclarations(update.declarations);
    }
    const gone = update.changes.filter((change) => change.entry === undefined);
    if (isWhole) {
      const present = new Set(update.changes.map((change) => change.id));
      gone.push(...this.#publisher.directory.listMissing(present, update.asOf));
    }
    this.#publisher.publishTargets(update.changes.filter((change) => change.entry !== undefined));
    const now = kernel.getMonotonicMilliseconds();
    if (now - this.#returnedAt < RETURN_MILLISECONDS) {
      this.#heldGone.push(...gone);
    } else {
      this.#publisher.publishTargets(gone);
    }
  }

  /** Targets that have not come back in time are gone. Later changes of a target go first. */
  #releaseHeldGone(): void {
    const now = kernel.getMonotonicMilliseconds();
    if (this.#heldGone.length > 0 && now - this.#returnedAt >= RETURN_MILLISECONDS) {
      this.#publisher.publishTargets(this.#heldGone.splice(0));
    }
  }

  #noteAnswer(): void {
    if (!this.#isAvailable || this.#getAge() > OUTAGE_MILLISECONDS) {
      this.#logger.write(kernel.LogMessages.storeAnswers, { silentMilliseconds: this.#getAge() });
    }
    if (this.#getAge() > OUTAGE_MILLISECONDS) {
      this.#returnedAt = kernel.getMonotonicMilliseconds();
    }
    this.#isAvailable = true;
    this.#failures = 0;
    this.#mesh.confirm();
  }

  #noteFailure(failure: declarations.StoreFailure): void {
    if (failure === "history_lost") {
      this.#asOf = undefined;
      return;
    }
    this.#failures++;
    if (this.#isAvailable) {
      this.#isAvailable = false;
      this.#logger.write(kernel.LogMessages.storeSilent, { failure, asOf: this.#asOf });
    }
  }

  #getBackoff(): number {
    return this.#failures === 0
      ? 0
      : Math.min(MIN_BACKOFF_MILLISECONDS * 2 ** (this.#failures - 1), MAX_BACKOFF_MILLISECONDS);
  }
}
