/**
 * Claims over the whole fleet.
 *
 * A claim is granted by three of the five slots of its key. Which slots these are is fixed by the key
 * alone, and a slot has at most one holder at any time, by the votes of more than half of all VMs
 * that may exist. So two grants of a key within the retention would need one slot that forgot.
 */

import type * as configuration from "@hemlockwalk/configuration";
import type * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as counters from "./claim_counters.ts";
import * as messages from "./claim_messages.ts";
import * as panels from "./claim_panel.ts";
import * as registries from "./claim_registry.ts";
import * as timings from "./claim_timing.ts";
import * as slotHolders from "./slot_holder.ts";
import * as slots from "./slots.ts";
import * as slotVoters from "./slot_voter.ts";
import type * as types from "./types.ts";

/** A slot must answer within this time, which covers the way to the other region and back. */
const ASK_TIMEOUT_MILLISECONDS = 500;

/** Tries of one claim, since two claims on a key at the same moment may each get too few slots. */
const MAX_TRIES = 4;

const MIN_BACKOFF_MILLISECONDS = 10;
const MAX_BACKOFF_MILLISECONDS = 60;
const MIN_RETRY_AFTER_MILLISECONDS = 200;

const FINGERPRINT_CHARACTERS = 64;

/** A running claim is confirmed at its slots so many times in one retention. */
const REFRESHES_PER_RETENTION = 4;

/** What a store works with. */
export interface FleetClaimStoreOptions {
  readonly network: fleet.PeerNetwork;
  readonly membership: fleet.Membership;
  readonly configuration: configuration.ConfigurationService;
  readonly counters: counters.ClaimCounters;
  readonly timing?: timings.ClaimTiming | undefined;
  readonly maxAnswerBytes?: number | undefined;
}

type Settled = types.ClaimDecision | { readonly kind: "again" };

/** Decides on claims together with the other VMs. */
export class FleetClaimStore implements types.ClaimStore {
  readonly #self: fleet.VmIdentity;
  readonly #network: fleet.PeerNetwork;
  readonly #counters: counters.ClaimCounters;
  readonly #timing: timings.ClaimTiming;
  readonly #voter: slotVoters.SlotVoter;
  readonly #holder: slotHolders.SlotHolder;
  readonly #panel: panels.ClaimPanel;
  readonly #registry: registries.ClaimRegistry;
  readonly #stopping = new AbortController();

  constructor(options: FleetClaimStoreOptions) {
    this.#network = options.network;
    this.#self = options.network.self;
    this.#counters = options.counters;
    this.#timing = options.timing ?? timings.DEFAULT_TIMING;
    this.#voter = new slotVoters.SlotVoter(this.#timing);
    this.#holder = new slotHolders.SlotHolder({
      ...options,
      voter: this.#voter,
      timing: this.#timing,
    });
    this.#panel = new panels.ClaimPanel(this.#network, this.#holder, this.#voter);
    this.#registry = new registries.ClaimRegistry(
      `${this.#self.vm}-${this.#self.incarnation}`,
      options.maxAnswerBytes,
    );
    this.#handleMessages();
  }

  /** Slots that this VM holds. */
  get heldSlots(): number {
    return this.#holder.listHeld().length;
  }

  /** Keys that this VM remembers on behalf of its slots. */
  get rememberedKeys(): number {
    return this.#holder.entries;
  }

  /** Bytes of answers that this VM keeps for repeats. */
  get answerBytes(): number {
    return this.#registry.answerBytes;
  }

  start(): void {
    this.#holder.start();
  }

  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#holder.stop();
  }

  async claim(request: types.ClaimRequest): Promise<types.ClaimDecision> {
    const started = kernel.getMonotonicMilliseconds();
    const decision = await this.#claim(request);
    this.#counters.latency.record(kernel.getMonotonicMilliseconds() - started);
    return decision;
  }

  async #claim(request: types.ClaimRequest): Promise<types.ClaimDecision> {
    const key = slots.createKeyHash(request.workspace, request.idempotencyKey);
    const panel = slots.pickPanel(key);
    const fingerprint = request.fingerprint.slice(0, FINGERPRINT_CHARACTERS);
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const owner = { ...this.#getOwner(), claim: this.#registry.create(), fingerprint };
      const settled = await this.#try({ panel, key, owner }, request.deadlineMilliseconds);
      if (settled.kind !== "again") {
        return settled;
      }
      await kernel.sleep(
        MIN_BACKOFF_MILLISECONDS + Math.random() * MAX_BACKOFF_MILLISECONDS * (attempt + 1),
        this.#stopping.signal,
      );
    }
    return this.#createUnavailable("contended", MIN_RETRY_AFTER_MILLISECONDS);
  }

  async #try(claim: panels.PanelClaim, deadlineMilliseconds: number): Promise<Settled> {
    const askedAt = kernel.getMonotonicMilliseconds();
    const left = deadlineMilliseconds - askedAt;
    if (left <= 0 || this.#stopping.signal.aborted) {
      this.#registry.set(claim.owner.claim, "abandoned");
      return this.#createUnavailable("deadline", MIN_RETRY_AFTER_MILLISECONDS);
    }
    const timeout = Math.min(ASK_TIMEOUT_MILLISECONDS, left);
    const verdict = await this.#panel.ask(claim, timeout, false);
    const isInTime = kernel.getMonotonicMilliseconds() - askedAt < timings.DECISION_MILLISECONDS &&
      kernel.getMonotonicMilliseconds() < deadlineMilliseconds;
    if (verdict.granted >= slots.PANEL_MAJORITY && isInTime) {
      this.#registry.set(claim.owner.claim, "running");
      return { kind: "granted", claim: this.#createClaim(claim) };
    }
    // From here on no late grant of this claim counts, so that its slots may be set free.
    this.#registry.set(claim.owner.claim, "abandoned");
    this.#panel.release(claim);
    if (verdict.granted >= slots.PANEL_MAJORITY) {
      return this.#createUnavailable("late", MIN_RETRY_AFTER_MILLISECONDS);
    }
    if (verdict.taken.length > 0) {
      return await this.#settleTaken(claim, verdict.taken, deadlineMilliseconds);
    }
    return this.#createUnavailable("no_majority", getRetryAfter(verdict));
  }

  /** Finds out what became of the claims that hold the key. */
  async #settleTaken(
    claim: panels.PanelClaim,
    taken: readonly messages.ClaimOwner[],
    deadlineMilliseconds: number,
  ): Promise<Settled> {
    const outcomes = await Promise.all(
      taken.map(async (owner) => ({
        owner,
        outcome: await this.#findOutcome(owner, deadlineMilliseconds),
      })),
    );
    for (const { owner, outcome } of outcomes) {
      if (outcome.kind === "abandoned") {
        this.#panel.release({ ...claim, owner });
      } else if (outcome.kind !== "pending") {
        return owner.fingerprint === claim.owner.fingerprint ? outcome : { kind: "mismatch" };
      }
    }
    return { kind: "again" };
  }

  async #findOutcome(
    owner: messages.ClaimOwner,
    deadlineMilliseconds: number,
  ): Promise<messages.ClaimOutcome> {
    if (owner.vm === this.#self.vm && owner.incarnation === this.#self.incarnation) {
      return this.#registry.getOutcome(owner.claim);
    }
    const left = deadlineMilliseconds - kernel.getMonotonicMilliseconds();
    const called = await this.#network.call(
      owner.vm,
      messages.OUTCOME_CHANNEL,
      { claim: owner.claim },
      Math.max(1, Math.min(ASK_TIMEOUT_MILLISECONDS, left)),
    );
    const outcome = called.isOk() ? messages.outcomeSchema.safeParse(called.value) : undefined;
    // A VM that is gone takes the outcome with it: the request may have run.
    return outcome?.success === true ? outcome.data : { kind: "unknown" };
  }

  #createClaim(claim: panels.PanelClaim): types.Claim {
    const settling = new AbortController();
    void this.#confirmWhileRunning(claim, settling.signal);
    const settle = () => {
      kernel.assert(!settling.signal.aborted, "A claim is settled once.");
      settling.abort();
    };
    return {
      complete: (answer) => {
        settle();
        if (answer === undefined) {
          this.#registry.set(claim.owner.claim, "unknown");
        } else {
          this.#registry.store(claim.owner.claim, answer);
        }
        this.#confirm(claim);
      },
      abandon: () => {
        settle();
        this.#registry.set(claim.owner.claim, "abandoned");
        this.#panel.release(claim);
      },
      fail: () => {
        settle();
        this.#registry.set(claim.owner.claim, "unknown");
        this.#confirm(claim);
      },
    };
  }

  /** The task of a running claim: its retention counts from its end, so slots must not forget it. */
  async #confirmWhileRunning(claim: panels.PanelClaim, settled: AbortSignal): Promise<void> {
    const ended = AbortSignal.any([settled, this.#stopping.signal]);
    const period = this.#timing.retention / REFRESHES_PER_RETENTION;
    while (await kernel.sleep(period, ended)) {
      this.#confirm(claim);
    }
  }

  #confirm(claim: panels.PanelClaim): void {
    void this.#panel.ask(claim, ASK_TIMEOUT_MILLISECONDS, true);
  }

  #createUnavailable(reason: string, retryAfterMilliseconds: number): types.ClaimDecision {
    this.#counters.unavailable.inc({ reason });
    return { kind: "unavailable", retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds) };
  }

  #getOwner(): Pick<messages.ClaimOwner, "vm" | "incarnation"> {
    return { vm: this.#self.vm, incarnation: this.#self.incarnation };
  }

  #handleMessages(): void {
    this.#network.handle(messages.VOTE_CHANNEL, ({ from, payload }) => {
      const { slots: wanted, held, lease, round } = messages.voteSchema.parse(payload);
      for (const slot of held) {
        this.#voter.noteHolder(slot, from);
      }
      return {
        clean: wanted.map((slot) => this.#voter.vote(slot, from, lease, round) ?? null),
      };
    });
    this.#network.handle(messages.RELEASE_SLOTS_CHANNEL, ({ from, payload }) => {
      const released = messages.releaseSlotsSchema.parse(payload);
      for (const slot of released.slots) {
        this.#voter.release(slot, from, released.round, released.neverHeld);
      }
    });
    this.#network.handle(messages.CLAIM_CHANNEL, ({ from, payload }) => {
      const { slots: asked, key, fingerprint, claim, isRefresh } = messages.claimSchema.parse(
        payload,
      );
      const owner = { vm: from.vm, incarnation: from.incarnation, claim, fingerprint };
      return {
        verdicts: asked.map((slot) => this.#holder.decide(slot, key, owner, isRefresh)),
      };
    });
    this.#network.handle(messages.RELEASE_CLAIM_CHANNEL, ({ payload }) => {
      const { slots: released, key, claim } = messages.releaseClaimSchema.parse(payload);
      for (const slot of released) {
        this.#holder.releaseClaim(slot, key, claim);
      }
    });
    this.#network.handle(
      messages.OUTCOME_CHANNEL,
      ({ payload }) =>
        this.#registry.getOutcome(messages.outcomeRequestSchema.parse(payload).claim),
    );
  }
}

function getRetryAfter(verdict: panels.PanelVerdict): number {
  const missing = slots.PANEL_MAJORITY - verdict.granted;
  return Math.max(MIN_RETRY_AFTER_MILLISECONDS, verdict.waits[missing - 1] ?? 0);
}
