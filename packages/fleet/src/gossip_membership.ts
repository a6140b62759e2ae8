/**
 * This VM's view of the fleet, from heartbeats with a bounded number of neighbours, from what they
 * pass on, and from the platform's list.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as exchanges from "./membership_exchange.ts";
import type * as membershipCounters from "./membership_counters.ts";
import * as entries from "./member_entry.ts";
import * as table from "./member_table.ts";
import * as views from "./member_view.ts";
import * as neighbours from "./neighbours.ts";
import type * as types from "./types.ts";
import * as listings from "./vm_listing.ts";

const HEARTBEAT_MILLISECONDS = 1_000;

/** Share of a heartbeat's period that is random, so that heartbeats of VMs spread. */
const JITTER = 0.2;

/** News are sent before the next heartbeat is due, but not more often than this. */
const MIN_GAP_MILLISECONDS = 200;

/** A suspect VM has so long to show that it lives. */
export const SUSPICION_MILLISECONDS = 3_000;

/** A VM that nobody has answered for so long is isolated and judges nobody. */
const ISOLATION_MILLISECONDS = 2_500;

/** How long the death of a VM overrides old statements that it lives. */
const TOMBSTONE_MILLISECONDS = 60_000;

const AGE_CHECK_MILLISECONDS = 250;

/** Tells when this process resumed after a pause. */
export interface PauseSource {
  readonly lastResumeMilliseconds: number;
}

/** Settings of a membership. */
export interface GossipMembershipOptions {
  readonly network: types.PeerNetwork;
  /** Address of this VM's peer listener, as other VMs reach it. */
  readonly address: string;
  readonly seeds: readonly types.ListedVm[];
  readonly list?: types.VmListSource | undefined;
  readonly pauses: PauseSource;
  readonly counters: membershipCounters.MembershipCounters;
  readonly logger: kernel.PartLogger;
}

interface Watch {
  readonly stopping: AbortController;
  readonly progress: exchanges.Progress;
  turn: AbortController;
}

/** Membership by heartbeats, gossip and the platform's list. */
export class GossipMembership implements types.Membership, exchanges.ExchangeOwner {
  readonly self: types.VmIdentity;
  readonly table = new table.MemberTable();
  readonly listing: listings.VmListing;
  readonly counters: membershipCounters.MembershipCounters;
  readonly #options: GossipMembershipOptions;
  readonly #exchange: exchanges.MembershipExchange;
  readonly #listeners: (() => void)[] = [];
  readonly #watches = new Map<model.VmId, Watch>();
  readonly #stopping = new AbortController();
  readonly #tasks = new Set<Promise<void>>();
  #view: readonly types.Member[] | undefined;
  #isRefreshDue = false;
  #isIsolated = false;
  #isSuperseded = false;
  #lastRoundTrip = Number.NEGATIVE_INFINITY;

  constructor(options: GossipMembershipOptions) {
    this.self = options.network.self;
    this.#options = options;
    this.counters = options.counters;
    this.listing = new listings.VmListing(options.seeds);
    this.#exchange = new exchanges.MembershipExchange(this, options.network);
    options.list?.onList((vms) => this.#takeList(vms));
    const { vm, incarnation, dataCentre } = this.self;
    this.table.merge({
      vm,
      incarnation,
      counter: 0,
      address: options.address,
      dataCentre,
      isLeaving: false,
      health: "live",
    }, false);
  }

  /** This VM's own entry. */
  get ownEntry(): entries.MemberEntry {
    return kernel.getDefined(this.table.get(this.self.vm), "A VM knows itself.");
  }

  /** Whether nobody answers this VM. */
  get isIsolated(): boolean {
    return this.#isIsolated;
  }

  /** The VMs that this VM sends heartbeats to. */
  get neighbours(): readonly model.VmId[] {
    return [...this.#watches.keys()];
  }

  listMembers(): readonly types.Member[] {
    // A VM that hears nobody is the first to be suspected.
    const doubted = this.#isIsolated || this.#isSuperseded ? this.self.vm : undefined;
    this.#view ??= views.createView(this.table, this.listing, doubted);
    return this.#view;
  }

  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Where the peer listener of a VM is. */
  findAddress(vm: model.VmId): string | undefined {
    return this.table.get(vm)?.address ?? this.listing.find(vm)?.address;
  }

  /** Whether no later incarnation of a VM is known. */
  isLatest(vm: model.VmId, incarnation: model.Incarnation): boolean {
    const known = this.table.get(vm);
    return known === undefined || incarnation >= known.incarnation;
  }

  start(): void {
    this.#lastRoundTrip = kernel.getMonotonicMilliseconds();
    this.#runTask(this.#runContacts());
    this.#runTask(this.#runAges());
    this.#refresh();
  }

  /** Tells the fleet that this VM takes no new work. The daemon calls it first in a planned stop. */
  announceLeaving(): void {
    if (!this.ownEntry.isLeaving) {
      this.#restate({ isLeaving: true });
    }
  }

  drain(): void {
    this.announceLeaving();
  }

  async stop(): Promise<void> {
    if (!this.#isSuperseded) {
      this.#restate({ isLeaving: true, health: "dead" });
      this.#exchange.push([...this.#watches.keys()], [this.ownEntry]);
    }
    this.#stopping.abort();
    for (const watch of this.#watches.values()) {
      endWatch(watch);
    }
    await Promise.all(this.#tasks);
  }

  merge(entry: entries.MemberEntry, isNews: boolean): void {
    if (entry.vm === this.self.vm) {
      this.#defend(entry);
      return;
    }
    const before = this.table.get(entry.vm);
    if (!this.table.merge(entry, isNews)) {
      return;
    }
    if (entry.health === "dead") {
      this.listing.remember({ ...entry, state: "live" });
      const isReplaced = before !== undefined && before.incarnation !== entry.incarnation;
      this.counters.deaths.inc({ cause: isReplaced ? "replaced" : "told" });
    }
    this.#changed(isNews);
  }

  noteRoundTrip(): void {
    this.#lastRoundTrip = kernel.getMonotonicMilliseconds();
    if (this.#isIsolated) {
      this.#setIsolated(false);
    }
  }

  /** Whether a failure that began at the given time may be this VM's own. */
  isVoid(startedMilliseconds: number): boolean {
    if (this.#options.pauses.lastResumeMilliseconds >= startedMilliseconds) {
      this.counters.voided.inc({ reason: "paused" });
      return true;
    }
    if (this.#isIsolated || this.#isSuperseded) {
      this.counters.voided.inc({ reason: "isolated" });
      return true;
    }
    return false;
  }

  suspect(vm: model.VmId): void {
    const entry = this.table.get(vm);
    if (entry?.health !== "live" || this.#stopping.signal.aborted) {
      return;
    }
    this.counters.suspicions.inc();
    this.#options.logger.info("A VM is suspect.", { vm });
    this.merge({ ...entry, health: "suspect" }, true);
  }

  /** The task of one neighbour. */
  async #runWatch(vm: model.VmId, watch: Watch): Promise<void> {
    const { signal } = watch.stopping;
    while (!signal.aborted) {
      const position = this.table.logEnd;
      await this.#exchange.heartbeat(vm, watch.progress, signal);
      await kernel.sleep(MIN_GAP_MILLISECONDS, signal);
      if (this.table.logEnd === position) {
        const period = HEARTBEAT_MILLISECONDS * (1 - JITTER / 2 + Math.random() * JITTER);
        watch.turn = new AbortController();
        await kernel.sleep(period - MIN_GAP_MILLISECONDS, watch.turn.signal);
      }
    }
  }

  /** The task that looks for VMs which are known, but not in touch. */
  async #runContacts(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const vm = this.listing.pickRandom((candidate) => this.#isOutOfTouch(candidate));
      if (vm !== undefined && !this.#isSuperseded) {
        await this.#exchange.contact(vm);
      }
      const isAlone = this.#watches.size === 0;
      await kernel.sleep(isAlone ? MIN_GAP_MILLISECONDS : HEARTBEAT_MILLISECONDS, signal);
    }
  }

  /** The task that turns long suspicion into death and forgets old deaths. */
  async #runAges(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const now = kernel.getMonotonicMilliseconds();
      const isSilent = this.#watches.size > 0 &&
        now - this.#lastRoundTrip > ISOLATION_MILLISECONDS;
      if (isSilent && !this.#isIsolated) {
        this.#setIsolated(true);
      }
      for (const entry of [...this.table.list()]) {
        this.#judgeAge(entry, now);
      }
      // Listed VMs that nobody heard leave the view by age alone.
      this.#view = undefined;
      await kernel.sleep(AGE_CHECK_MILLISECONDS, signal);
    }
  }

  #judgeAge(entry: entries.MemberEntry, now: number): void {
    const since = this.table.getSince(entry.vm);
    if (entry.health === "dead" && now - since > TOMBSTONE_MILLISECONDS) {
      this.table.remove(entry.vm);
      return;
    }
    if (entry.health !== "suspect") {
      return;
    }
    // Neither a pause nor isolation of this VM counts against the suspect one.
    if (this.#isIsolated || this.#options.pauses.lastResumeMilliseconds >= since) {
      this.table.restartAge(entry.vm);
    } else if (now - since > SUSPICION_MILLISECONDS) {
      this.#bury(entry, "silent");
    }
  }

  #bury(entry: entries.MemberEntry, cause: "silent" | "unlisted"): void {
    this.counters.deaths.inc({ cause });
    this.#options.logger.info("A VM has left the view.", { vm: entry.vm, cause });
    this.listing.remember({ ...entry, state: "live" });
    this.table.merge({ ...entry, health: "dead" }, true);
    this.#changed(true);
  }

  #takeList(vms: readonly types.ListedVm[]): void {
    for (const vm of this.listing.replace(vms)) {
      const entry = this.table.get(vm);
      // The list lags and errs, so it only confirms what this VM has reason to believe.
      const isDoubtful = entry?.health === "suspect" || this.#isIsolated;
      if (entry !== undefined && entry.health !== "dead" && isDoubtful && vm !== this.self.vm) {
        this.#bury(entry, "unlisted");
      }
    }
    this.#changed(false);
  }

  #isOutOfTouch(vm: model.VmId): boolean {
    const entry = this.table.get(vm);
    return vm !== this.self.vm && (entry === undefined || entry.health === "dead");
  }

  /** Answers a statement of others about this VM itself. */
  #defend(entry: entries.MemberEntry): void {
    const own = this.ownEntry;
    if (entry.incarnation > own.incarnation) {
      this.#supersede();
    } else if (entry.incarnation === own.incarnation && entries.overrides(entry, own)) {
      this.counters.refutations.inc();
      this.#restate({ counter: entry.counter + 1 });
    }
  }

  #supersede(): void {
    if (!this.#isSuperseded) {
      this.#isSuperseded = true;
      this.#options.logger.error("Another process runs under this VM's identifier.");
      this.#changed(false);
    }
  }

  #restate(changes: Partial<entries.MemberEntry>): void {
    const own = this.ownEntry;
    this.table.merge({ ...own, counter: own.counter + 1, ...changes }, true);
    this.#changed(true);
  }

  #setIsolated(isIsolated: boolean): void {
    this.#isIsolated = isIsolated;
    this.#options.logger.warn(isIsolated ? "No VM answers." : "Other VMs answer again.");
    this.#changed(false);
  }

  #changed(isNews: boolean): void {
    this.#view = undefined;
    if (isNews) {
      for (const watch of this.#watches.values()) {
        watch.turn.abort();
      }
    }
    if (!this.#isRefreshDue) {
      this.#isRefreshDue = true;
      queueMicrotask(() => {
        this.#isRefreshDue = false;
        this.#refresh();
      });
    }
  }

  #refresh(): void {
    if (this.#stopping.signal.aborted) {
      return;
    }
    this.#refreshWatches();
    for (const listener of this.#listeners) {
      listener();
    }
  }

  #refreshWatches(): void {
    const alive = [...this.table.list()].filter((entry) => entry.health !== "dead");
    const wanted = this.#isSuperseded ? [] : neighbours.pickNeighbours(this.self, alive);
    for (const [vm, watch] of this.#watches) {
      if (!wanted.includes(vm)) {
        this.#watches.delete(vm);
        endWatch(watch);
      }
    }
    for (const vm of wanted) {
      if (!this.#watches.has(vm)) {
        const watch = {
          stopping: new AbortController(),
          turn: new AbortController(),
          progress: { told: this.table.logEnd, mismatches: 0 },
        };
        this.#watches.set(vm, watch);
        this.#runTask(this.#runWatch(vm, watch));
      }
    }
  }

  #runTask(task: Promise<void>): void {
    const tracked = task.finally(() => this.#tasks.delete(tracked));
    this.#tasks.add(tracked);
  }
}

function endWatch(watch: Watch): void {
  watch.stopping.abort();
  watch.turn.abort();
}
