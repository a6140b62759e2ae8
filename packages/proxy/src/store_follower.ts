/**
 * Reads the store for the whole fleet, with few calls.
 *
 * A few VMs read the store; all others receive its updates over the mesh. The store readers module
 * chooses which.
 *
 * A store that was restored from a backup states a later era. It is then read as a whole, and what
 * it no longer holds is treated like entries that expired during an outage: it stays in use for the
 * time in which targets register again.
 */

import * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as publishers from "./publisher.ts";
import * as storeReaders from "./store_readers.ts";

/**
 * Longest wait of one watch. Each response shows the fleet that its reader still works, so this
 * bounds the time for which a failed reader goes unnoticed.
 */
const WATCH_MILLISECONDS = 600;

/** Minimum interval between reads, so that changes in quick succession are read in one call. */
const MIN_WATCH_INTERVAL_MILLISECONDS = 150;

/** Time that a VM leaves for the mesh to form before it may become a reader. */
const MIN_START_DELAY_MILLISECONDS = 500;
const MAX_START_DELAY_MILLISECONDS = 1_500;

/**
 * A VM that replaces another already has waiting callers: it reads after this delay unless a peer
 * has sent it the declarations and a current list of targets.
 */
const RESTART_DELAY_MILLISECONDS = 60;

/**
 * Longest further wait for declarations requested from a peer. A slow link takes half a second for
 * large ones.
 */
const MAX_SNAPSHOT_WAIT_MILLISECONDS = 800;
const SNAPSHOT_POLL_MILLISECONDS = 20;

/**
 * Time after a standstill in which this VM may not have heard of all removals, or holds them back.
 */
const RETURN_MILLISECONDS = 3_000;

const MIN_BACKOFF_MILLISECONDS = 200;
const MAX_BACKOFF_MILLISECONDS = 1_500;

const IDLE_POLL_MILLISECONDS = 100;

/**
 * After this time without a response to any VM, the store is considered to have been unavailable.
 */
const OUTAGE_MILLISECONDS = 2_000;

/** Settings of a follower. */
export interface StoreFollowerOptions {
  readonly store: declarations.PublishedStore;
  readonly mesh: mesh.Mesh;
  readonly publisher: publishers.Publisher;
  readonly logger: kernel.ComponentLogger;
  readonly metrics: kernel.Metrics;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
}

/**
 * Reads and watches the store while this VM is a reader or has no recent confirmation of its data.
 */
export class StoreFollower implements kernel.Service {
  readonly #store: declarations.PublishedStore;
  readonly #mesh: mesh.Mesh;
  readonly #publisher: publishers.Publisher;
  readonly #readers: storeReaders.StoreReaders;
  readonly #logger: kernel.ComponentLogger;
  readonly #restores: kernel.Counter;
  readonly #isFirstStart: boolean;
  readonly #pauses = new kernel.PauseDetector();
  readonly #stopping = new AbortController();
  readonly #startedAt = kernel.getMonotonicMilliseconds();
  #asOf: declarations.StorePosition | undefined;
  /** Era of the latest whole read. */
  #era: declarations.StoreEra | undefined;
  #reason: storeReaders.ReadingReason = "none";
  #isAvailable = true;
  #failures = 0;
  /** Whether a call has failed since the start. */
  #hasFailed = false;
  #heldRemovals: declarations.TargetChange[] = [];
  #heldWithdrawals: declarations.EvacuationChange[] = [];

  constructor(options: StoreFollowerOptions) {
    this.#isFirstStart = options.isFirstStart;
    this.#store = options.store;
    this.#mesh = options.mesh;
    this.#publisher = options.publisher;
    this.#readers = new storeReaders.StoreReaders(options.mesh, options.logger);
    this.#logger = options.logger;
    options.publisher.onListSent(() => this.#isListCurrent());
    options.mesh.onStoreResponse((at, previousAt) => this.#recordOutage(at, previousAt));
    this.#restores = options.metrics.createCounter(
      "hemlockwalk_store_restores_total",
      "Restores of the store from a backup that this VM noticed while it read the store.",
    );
  }

  start(): void {
    this.#pauses.start();
    void this.#follow();
  }

  /** Does not wait for a pending watch: its result is dropped. */
  stop(): void {
    this.#pauses.stop();
    this.#stopping.abort();
  }

  async #follow(): Promise<void> {
    const { signal } = this.#stopping;
    await this.#waitForPeers();
    while (!signal.aborted) {
      this.#publishHeldRemovals();
      this.#publisher.releaseRemovals();
      this.#recordReason(this.#readers.chooseReason());
      if (this.#reason === "none") {
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
      await this.#waitForSnapshots();
      if (this.#publisher.isEmpty || !this.#publisher.hasCurrentList) {
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

  /** Waits for declarations that were requested from a peer, which may be large. */
  async #waitForSnapshots(): Promise<void> {
    const endsAt = kernel.getMonotonicMilliseconds() + MAX_SNAPSHOT_WAIT_MILLISECONDS;
    while (
      this.#publisher.isEmpty && this.#mesh.isAwaitingSnapshots && !this.#stopping.signal.aborted &&
      kernel.getMonotonicMilliseconds() < endsAt
    ) {
      await kernel.sleep(SNAPSHOT_POLL_MILLISECONDS, this.#stopping.signal);
    }
  }

  /** Whether a VM that takes this VM's list need not read the store itself. */
  #isListCurrent(): boolean {
    const { hasCurrentList, removalHold } = this.#publisher;
    const sinceResume = kernel.getMonotonicMilliseconds() - this.#pauses.lastResumeMilliseconds;
    return (hasCurrentList || this.#isFirstStart) && this.#readers.isConfirmed &&
      !removalHold.isActive && sinceResume > RETURN_MILLISECONDS;
  }

  #recordReason(reason: storeReaders.ReadingReason): void {
    if (reason !== this.#reason) {
      this.#reason = reason;
      const confirmedAge = Math.round(this.#readers.confirmationAge);
      this.#logger.write(kernel.LogMessages.storeReadingChanged, { reason, confirmedAge });
    }
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
      this.#recordFailure(result.error);
      return false;
    }
    const { asOf } = result.value;
    if (!this.#checkEra(asOf.era)) {
      return false;
    }
    this.#recordResponse();
    if (since !== undefined && asOf.era !== since.era) {
      // The changes since then are unknown, so the whole content is read next.
      this.#asOf = undefined;
      return true;
    }
    this.#asOf = asOf;
    this.#publish(result.value, since === undefined);
    return true;
  }

  /** Whether a response's era is current; an earlier one comes from a store that is not in use. */
  #checkEra(era: declarations.StoreEra): boolean {
    const { directory, evacuations } = this.#publisher;
    const known = Math.max(
      this.#era ?? era,
      directory.getLatestEra() ?? era,
      evacuations.mark.latest?.era ?? era,
    );
    if (era >= known) {
      return true;
    }
    this.#recordFailure("invalid_era");
    this.#logger.write(kernel.LogMessages.storeEraEarlier, {
      stated: era === declarations.UNSTATED_ERA ? undefined : era,
      known,
    });
    return false;
  }

  /** Notes the era of a whole read, and that the store has been restored since the one before. */
  #adoptEra(asOf: declarations.StorePosition): void {
    if (this.#era === asOf.era) {
      return;
    }
    const { directory, evacuations } = this.#publisher;
    const outdated = directory.listOutdated(asOf).length;
    const isLater = outdated > 0 || evacuations.listOutdated(asOf).length > 0;
    if (this.#era !== undefined || isLater) {
      this.#publisher.removalHold.begin(true);
      this.#restores.inc();
      this.#logger.write(kernel.LogMessages.storeRestored, {
        era: asOf.era,
        previousEra: this.#era,
        revision: asOf.revision,
        outdated,
      });
    }
    this.#era = asOf.era;
  }

  #publish(update: declarations.StoreUpdate, isSnapshot: boolean): void {
    if (isSnapshot) {
      this.#adoptEra(update.asOf);
    }
    // Before the declarations, with which requests begin to be served.
    this.#publishEvacuations(update, isSnapshot);
    if (update.declarations !== undefined) {
      this.#publisher.publishDeclarations(update.declarations);
    }
    const removals = update.changes.filter((change) => change.entry === undefined);
    if (isSnapshot) {
      const present = new Set(update.changes.map((change) => change.id));
      removals.push(...this.#publisher.directory.listMissing(present, update.asOf));
    }
    this.#heldRemovals.push(...removals);
    const listAsOf = isSnapshot ? update.asOf : undefined;
    const entries = update.changes.filter((change) => change.entry !== undefined);
    if (this.#publisher.removalHold.isActive) {
      this.#publisher.publishTargets(entries, listAsOf, undefined);
      return;
    }
    const due = this.#takeHeldRemovals(update.asOf);
    this.#publisher.publishTargets([...entries, ...due], listAsOf, update.asOf);
  }

  #publishEvacuations(update: declarations.StoreUpdate, isSnapshot: boolean): void {
    const { evacuations, removalHold } = this.#publisher;
    const orders = update.evacuations.filter(({ isEvacuated }) => isEvacuated);
    this.#heldWithdrawals.push(...update.evacuations.filter(({ isEvacuated }) => !isEvacuated));
    if (isSnapshot) {
      const present = new Set(orders.map(({ dataCentre }) => dataCentre));
      this.#heldWithdrawals.push(...evacuations.listMissing(present, update.asOf));
    }
    const listAsOf = isSnapshot ? update.asOf : undefined;
    if (removalHold.isActive) {
      this.#publisher.publishEvacuations(orders, listAsOf, undefined);
      return;
    }
    const due = this.#takeHeldWithdrawals(update.asOf);
    this.#publisher.publishEvacuations([...orders, ...due], listAsOf, update.asOf);
  }

  /** The withdrawals that were held back, among them those of orders of earlier eras. */
  #takeHeldWithdrawals(
    asOf: declarations.StorePosition | undefined,
  ): readonly declarations.EvacuationChange[] {
    const outdated = asOf === undefined ? [] : this.#publisher.evacuations.listOutdated(asOf);
    return [...this.#heldWithdrawals.splice(0), ...outdated];
  }

  /** Publishes removals and withdrawals that were not revoked while they were held back. */
  #publishHeldRemovals(): void {
    if (!this.#publisher.removalHold.isActive) {
      const withdrawals = this.#takeHeldWithdrawals(this.#asOf);
      this.#publisher.publishEvacuations(withdrawals, undefined, this.#asOf);
      const due = this.#takeHeldRemovals(this.#asOf);
      this.#publisher.publishTargets(due, undefined, this.#asOf);
    }
  }

  /**
   * The removals that were held back, among them those of targets of earlier eras. Later changes of
   * a target take precedence.
   */
  #takeHeldRemovals(
    asOf: declarations.StorePosition | undefined,
  ): readonly declarations.TargetChange[] {
    const outdated = asOf === undefined ? [] : this.#publisher.directory.listOutdated(asOf);
    return [...this.#heldRemovals.splice(0), ...outdated];
  }

  /**
   * Every VM notes the end of an outage, whichever VM has had the first response. A VM that has just
   * started and has not called the store in vain cannot tell an outage from the time before.
   */
  #recordOutage(at: number, previousAt: number): void {
    if (previousAt < this.#startedAt && !this.#hasFailed) {
      return;
    }
    const silentSince = Math.max(previousAt, this.#startedAt);
    if (at - silentSince > OUTAGE_MILLISECONDS) {
      const hasStoodStill = this.#pauses.lastResumeMilliseconds > silentSince;
      this.#publisher.removalHold.begin(!hasStoodStill);
    }
  }

  #recordResponse(): void {
    if (!this.#isAvailable || this.#readers.confirmationAge > OUTAGE_MILLISECONDS) {
      this.#logger.write(kernel.LogMessages.storeAvailable, {
        silentMilliseconds: this.#readers.confirmationAge,
      });
    }
    this.#isAvailable = true;
    this.#failures = 0;
    this.#mesh.recordStoreResponse();
    this.#readers.recordResponse();
  }

  #recordFailure(failure: declarations.StoreFailure): void {
    if (failure === "history_lost") {
      this.#asOf = undefined;
      return;
    }
    this.#failures++;
    this.#hasFailed = true;
    this.#readers.recordFailure();
    if (this.#isAvailable) {
      this.#isAvailable = false;
      this.#logger.write(kernel.LogMessages.storeUnavailable, {
        failure,
        era: this.#asOf?.era,
        asOf: this.#asOf?.revision,
      });
    }
  }

  #getBackoff(): number {
    return this.#failures === 0
      ? 0
      : Math.min(MIN_BACKOFF_MILLISECONDS * 2 ** (this.#failures - 1), MAX_BACKOFF_MILLISECONDS);
  }
}
