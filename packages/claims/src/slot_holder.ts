/**
 * Acquires and renews leases on slots by the votes of more than half of all VMs that may exist, and
 * decides on claims at the slots that this VM holds.
 */

import type * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as counters from "./claim_counters.ts";
import * as messages from "./claim_messages.ts";
import * as timings from "./claim_timing.ts";
import * as slots from "./slots.ts";
import * as tables from "./slot_table.ts";
import type * as voters from "./slot_voter.ts";

const VOTE_TIMEOUT_MILLISECONDS = 1_000;

/** Minimum wait between two rounds of votes. */
const MIN_ROUND_GAP_MILLISECONDS = 50;

/** Wait before the next attempt if there is no configuration, or no lease on the slot. */
const RETRY_MILLISECONDS = 1_000;

/** Factor by which the next round comes earlier after a slot was won or its renewal failed. */
const RENEWAL_SPEED_UP = 10;

/** Random share of the renewal period, so that candidates do not keep colliding. */
const RENEWAL_JITTER = 0.2;

/** Options of a slot holder. */
export interface SlotHolderOptions {
  readonly network: fleet.PeerNetwork;
  readonly membership: fleet.Membership;
  readonly configuration: configuration.ConfigurationService;
  readonly voter: voters.SlotVoter;
  readonly timing: timings.ClaimTiming;
  readonly counters: counters.ClaimCounters;
}

interface SlotLease {
  /** End of the lease on this VM's monotonic clock. */
  readonly until: number;
  /**
   * Milliseconds without another holder, as attested by the votes of more than half of the fleet.
   */
  readonly clean: number;
}

/** The slots that one VM holds. */
export class SlotHolder {
  readonly #options: SlotHolderOptions;
  readonly #self: fleet.VmIdentity;
  readonly #table: tables.SlotTable;
  readonly #held = new Map<number, SlotLease>();
  readonly #everHeld = new Set<number>();
  readonly #stopping = new AbortController();
  #round = 0;
  #task: Promise<void> | undefined;

  constructor(options: SlotHolderOptions) {
    this.#options = options;
    this.#self = options.network.self;
    this.#table = new tables.SlotTable(options.timing);
  }

  /** Number of keys that this VM stores for its slots. */
  get entries(): number {
    return this.#table.size;
  }

  start(): void {
    this.#task = this.#run();
  }

  /** Releases all slots, so that other VMs can acquire them immediately. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    // No claim is granted after this, so the votes may be returned.
    const held = [...this.#held.keys()];
    this.#held.clear();
    await this.#task;
    this.#release(held, false);
  }

  /** Slots whose lease is valid now. */
  listHeld(): number[] {
    return [...this.#held.keys()].filter((slot) => this.#findLease(slot) !== undefined);
  }

  /**
   * Decides on a claim for one slot.
   *
   * @param isRefresh The claim was granted before, and is recorded even if the slot may not yet
   * grant new claims.
   */
  decide(
    slot: number,
    key: string,
    owner: messages.ClaimOwner,
    isRefresh: boolean,
  ): messages.SlotVerdict {
    const verdict = this.#decide(slot, key, owner, isRefresh);
    this.#options.counters.verdicts.inc({ verdict: verdict.kind });
    return verdict;
  }

  /** Removes a claim that was not used. */
  releaseClaim(slot: number, key: string, claim: string): void {
    this.#table.release(slot, key, claim);
  }

  #decide(
    slot: number,
    key: string,
    owner: messages.ClaimOwner,
    isRefresh: boolean,
  ): messages.SlotVerdict {
    const lease = this.#findLease(slot);
    const present = this.#table.find(slot, key);
    // The entry is valid even without a lease, and gives the caller a more precise response.
    if (present !== undefined && present.claim !== owner.claim) {
      return { kind: "taken", owner: present };
    }
    if (lease === undefined) {
      return { kind: "abstained", waitMilliseconds: RETRY_MILLISECONDS };
    }
    // A previous holder may have granted the key within the retention.
    const protectedPeriod = timings.getProtectedPeriod(this.#options.timing);
    const missing = protectedPeriod - lease.clean;
    if (missing > 0 && !isRefresh) {
      return { kind: "abstained", waitMilliseconds: missing };
    }
    if (!this.#table.put(slot, key, owner)) {
      return { kind: "abstained", waitMilliseconds: protectedPeriod };
    }
    return { kind: "granted" };
  }

  #findLease(slot: number): SlotLease | undefined {
    const lease = this.#held.get(slot);
    const isValid = lease !== undefined && kernel.getMonotonicMilliseconds() < lease.until;
    return isValid ? lease : undefined;
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const snapshot = this.#options.configuration.getSnapshot();
      if (snapshot === undefined) {
        await kernel.sleep(RETRY_MILLISECONDS, signal);
        continue;
      }
      const startedAt = kernel.getMonotonicMilliseconds();
      const isUnsettled = await this.#renew(snapshot);
      const period = timings.getLeaseMilliseconds(this.#options.timing, snapshot) /
        timings.RENEWALS_PER_LEASE;
      const jittered = period * (1 - RENEWAL_JITTER + Math.random() * RENEWAL_JITTER);
      // The next vote request announces a new holder, and a failed renewal must be retried soon.
      const wanted = isUnsettled ? jittered / RENEWAL_SPEED_UP : jittered;
      // The lease starts at the request, so a voter that times out must not delay the next round.
      const elapsed = kernel.getMonotonicMilliseconds() - startedAt;
      await kernel.sleep(Math.max(MIN_ROUND_GAP_MILLISECONDS, wanted - elapsed), signal);
    }
  }

  /** Runs one round of votes. Returns whether a slot was won or its renewal failed. */
  async #renew(snapshot: configuration.Snapshot): Promise<boolean> {
    const wanted = this.#listWanted();
    if (wanted.length === 0) {
      return false;
    }
    const lease = timings.getLeaseMilliseconds(this.#options.timing, snapshot);
    const sentAt = kernel.getMonotonicMilliseconds();
    this.#round++;
    const votes = await this.#collectVotes(wanted, lease);
    if (this.#stopping.signal.aborted) {
      this.#release(wanted, false);
      return false;
    }
    const majority = timings.getFleetMajority(snapshot);
    const until = sentAt + lease * (1 - timings.MAX_CLOCK_DRIFT);
    const lost: number[] = [];
    let hasWon = false;
    let hasFailed = false;
    for (const [index, slot] of wanted.entries()) {
      const clean = votes.map((answer) =>
        answer[index]
      ).filter((value) => typeof value === "number")
        .sort((left, right) => right - left)[majority - 1];
      const wasHeld = this.#held.has(slot);
      if (clean !== undefined) {
        this.#held.set(slot, { until, clean });
        this.#everHeld.add(slot);
        hasWon ||= !wasHeld;
      } else if (this.#findLease(slot) === undefined) {
        this.#held.delete(slot);
        lost.push(slot);
        this.#countChange(wasHeld ? "lost" : "not_won");
      } else {
        hasFailed = true;
      }
    }
    this.#recordOwnSlots();
    this.#releaseLost(lost);
    if (hasWon) {
      this.#countChange("won");
    }
    return hasWon || hasFailed;
  }

  /**
   * Slots to request votes for: those held, and free ones of which this VM is the preferred owner.
   */
  #listWanted(): number[] {
    const wanted: number[] = [];
    const candidates = this.#listCandidates();
    const isCandidate = candidates.includes(this.#self.vm);
    for (let slot = 0; slot < slots.SLOT_COUNT; slot++) {
      const isFree = !this.#options.voter.isPromisedToOther(slot, this.#self);
      const isPreferred = isCandidate && isFree &&
        fleet.findOwner(slots.getSlotName(slot), candidates) === this.#self.vm;
      if (this.#held.has(slot) || isPreferred) {
        wanted.push(slot);
      }
    }
    return wanted;
  }

  #listCandidates(): model.VmId[] {
    return this.#options.membership.listMembers()
      .filter((member) => member.state === "live")
      .map((member) => member.vm);
  }

  async #collectVotes(wanted: number[], lease: number): Promise<(number | null)[][]> {
    const own = wanted.map((slot) =>
      this.#options.voter.vote(slot, this.#self, lease, this.#round) ?? null
    );
    const request = { slots: wanted, held: this.listHeld(), lease, round: this.#round };
    const others = this.#listOthers().map(async (vm) => {
      const called = await this.#options.network.call(
        vm,
        messages.VOTE_CHANNEL,
        request,
        VOTE_TIMEOUT_MILLISECONDS,
      );
      const answer = called.isOk() ? messages.voteAnswerSchema.safeParse(called.value) : undefined;
      return answer?.success === true ? answer.data.clean : [];
    });
    return [own, ...await Promise.all(others)];
  }

  #listOthers(): model.VmId[] {
    return this.#options.membership.listMembers()
      .map((member) => member.vm)
      .filter((vm) => vm !== this.#self.vm);
  }

  #recordOwnSlots(): void {
    for (const slot of this.listHeld()) {
      this.#options.voter.recordHolder(slot, this.#self);
    }
  }

  #releaseLost(lost: readonly number[]): void {
    // If this VM ever held the slot, it may have granted claims on the strength of these votes.
    const neverHeld = lost.filter((slot) => !this.#everHeld.has(slot));
    this.#release(neverHeld, true);
    this.#release(lost.filter((slot) => this.#everHeld.has(slot)), false);
  }

  #release(released: readonly number[], neverHeld: boolean): void {
    if (released.length === 0) {
      return;
    }
    for (const slot of released) {
      this.#options.voter.release(slot, this.#self, this.#round, neverHeld);
    }
    for (const vm of this.#listOthers()) {
      this.#options.network.send(vm, messages.RELEASE_SLOTS_CHANNEL, {
        slots: released,
        round: this.#round,
        neverHeld,
      });
    }
  }

  #countChange(change: "won" | "lost" | "not_won"): void {
    this.#options.counters.slotChanges.inc({ change });
  }
}
