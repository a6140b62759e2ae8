/**
 * Claims that are decided by the whole fleet.
 *
 * A claim is granted by three of the five slots of its key. The key alone determines these slots. A
 * slot has at most one holder at any time, elected by the votes of more than half of all VMs that
 * may exist. So two grants of a key within the retention are possible only if one slot has lost its
 * entry.
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

/** Timeout of a request to a slot. It covers a round trip to the other region. */
const ASK_TIMEOUT_MILLISECONDS = 500;

/** Maximum attempts of one claim. Of two claims on a key at once, each may get too few slots. */
const MAX_ATTEMPTS = 4;

const MIN_BACKOFF_MILLISECONDS = 10;
const MAX_BACKOFF_MILLISECONDS = 60;
const MIN_RETRY_AFTER_MILLISECONDS = 200;

const FINGERPRINT_CHARACTERS = 64;

/** How often a running claim is refreshed at its slots during one retention. */
const REFRESHES_PER_RETENTION = 4;

/** Options of a claim store. */
export interface FleetClaimStoreOptions {
  readonly network: fleet.PeerNetwork;
  readonly membership: fleet.Membership;
  readonly configuration: configuration.ConfigurationService;
  readonly counters: counters.ClaimCounters;
  readonly timing?: timings.ClaimTiming | undefined;
  readonly maxAnswerBytes?: number | undefined;
}

type AttemptResult = types.ClaimDecision | { readonly kind: "again" };

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

  /** Number of slots that this VM holds. */
  get heldSlots(): number {
    return this.#holder.listHeld().length;
  }

  /** Number of keys that this VM stores for its slots. */
  get storedKeys(): number {
    return this.#holder.entries;
  }

  /** Bytes of responses that this VM stores for repeated requests. */
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
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const owner = { ...this.#getOwner(), claim: this.#registry.create(), fingerprint };
      const settled = await this.#attempt({ panel, key, owner }, request.deadlineMilliseconds);
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

  async #attempt(claim: panels.PanelClaim, deadlineMilliseconds: number): Promise<AttemptResult> {
    const askedAt = kernel.getMonotonicMilliseconds();
    const left = deadlineMilliseconds - askedAt;
    if (left <= 0 || this.#stopping.signal.aborted) {
      this.#registry.setState(claim.owner.claim, "abandoned");
      return this.#createUnavailable("deadline", MIN_RETRY_AFTER_MILLISECONDS);
    }
    const timeout = Math.min(ASK_TIMEOUT_MILLISECONDS, left);
    const verdict = await this.#panel.ask(claim, timeout, false);
    const isInTime =
      kernel.getMonotonicMilliseconds() - askedAt < timings.DECISION_TIMEOUT_MILLISECONDS &&
      kernel.getMonotonicMilliseconds() < deadlineMilliseconds;
    if (verdict.granted >= slots.PANEL_MAJORITY && isInTime) {
      this.#registry.setState(claim.owner.claim, "running");
      return { kind: "granted", claim: this.#createClaim(claim) };
    }
    // The claim is abandoned first: a late grant no longer counts, so its slots may be released.
    this.#registry.setState(claim.owner.claim, "abandoned");
    this.#panel.release(claim);
    if (verdict.granted >= slots.PANEL_MAJORITY) {
      return this.#createUnavailable("late", MIN_RETRY_AFTER_MILLISECONDS);
    }
    if (verdict.taken.length > 0) {
      return await this.#resolveTaken(claim, verdict.taken, deadlineMilliseconds);
    }
    return this.#createUnavailable("no_majority", getRetryAfter(verdict));
  }

  /** Decides on a claim whose key is taken, by the outcomes of the claims that hold the key. */
  async #resolveTaken(
    claim: panels.PanelClaim,
    taken: readonly messages.ClaimOwner[],
    deadlineMilliseconds: number,
  ): Promise<AttemptResult> {
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
    // If the VM cannot be reached, the outcome is unknown: the request may have run.
    return outcome?.success === true ? outcome.data : { kind: "unknown" };
  }

  #createClaim(claim: panels.PanelClaim): types.Claim {
    const settling = new AbortController();
    void this.#refreshWhileRunning(claim, settling.signal);
    const settle = () => {
      kernel.assert(!settling.signal.aborted, "A claim is settled once.");
      settling.abort();
    };
    return {
      complete: (answer) => {
        settle();
        if (answer === undefined) {
          this.#registry.setState(claim.owner.claim, "unknown");
        } else {
          this.#registry.store(claim.owner.claim, answer);
        }
        this.#refresh(claim);
      },
      abandon: () => {
        settle();
        this.#registry.setState(claim.owner.claim, "abandoned");
        this.#panel.release(claim);
      },
      fail: () => {
        settle();
        this.#registry.setState(claim.owner.claim, "unknown");
        this.#refresh(claim);
      },
    };
  }

  /**
   * Refreshes a claim at its slots until it is settled. Its retention starts when it ends, so its
   * entries must not expire before.
   */
  async #refreshWhileRunning(claim: panels.PanelClaim, settled: AbortSignal): Promise<void> {
    const ended = AbortSignal.any([settled, this.#stopping.signal]);
    const period = this.#timing.retention / REFRESHES_PER_RETENTION;
    while (await kernel.sleep(period, ended)) {
      this.#refresh(claim);
    }
  }

  #refresh(claim: panels.PanelClaim): void {
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
        this.#voter.recordHolder(slot, from);
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
