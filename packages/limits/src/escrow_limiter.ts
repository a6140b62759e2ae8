/**
 * Rates and bursts over the whole fleet: a small part of each is held by every VM by right, the rest
 * is pooled at one coordinator per shard of workspaces, which more than half of the VMs have voted
 * for, and granted to VMs for a short time as they need it.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as coordinators from "./coordinator.ts";
import * as clients from "./grant_client.ts";
import * as holders from "./grant_holder.ts";
import * as messages from "./messages.ts";
import * as limiterMetrics from "./metrics.ts";
import * as reserved from "./reserved_shares.ts";
import * as safety from "./safety_margins.ts";
import * as shards from "./shards.ts";
import type * as types from "./types.ts";
import * as voters from "./voter.ts";

/** What the limiter needs of its VM. */
export interface EscrowLimiterParts {
  readonly configuration: configuration.ConfigurationService;
  readonly network: fleet.PeerNetwork;
  readonly membership: fleet.Membership;
  readonly metrics: kernel.Metrics;
  readonly logger: kernel.PartLogger;
}

/** What tests and measurements change. */
export interface EscrowLimiterOptions {
  readonly margins?: safety.SafetyMargins;
  readonly reservedShare?: number;
  /** Monotonic milliseconds; a test gives each VM a clock of its own speed. */
  readonly now?: () => number;
}

const SWEEP_MILLISECONDS = 200;

/** How often votes are asked for while a claimed shard has no majority. */
const URGENT_RENEWAL_MILLISECONDS = 200;

/** For how many rounds after a change renewal is urgent. */
const URGENT_ROUNDS = 25;

const RENEWALS_PER_LEASE = 2.5;

/** Time in which a release reaches the other voters too. */
const RELEASE_MILLISECONDS = 10;

/** The task that asks one peer for votes. */
interface PeerTask {
  stopped: boolean;
  /** Whether the task was woken while it waited for an answer. */
  hurried: boolean;
  wait: AbortController;
}

/** Admits requests from grants, from shards that this VM coordinates, or from its own share. */
export class EscrowLimiter implements types.RateLimiter {
  readonly #configuration: configuration.ConfigurationService;
  readonly #network: fleet.PeerNetwork;
  readonly #membership: fleet.Membership;
  readonly #logger: kernel.PartLogger;
  readonly #metrics: limiterMetrics.LimiterMetrics;
  readonly #margins: safety.SafetyMargins;
  readonly #now: () => number;
  readonly #owners: shards.ShardOwners;
  readonly #voter: voters.Voter;
  readonly #coordinator: coordinators.Coordinator;
  readonly #holder: holders.GrantHolder;
  readonly #client: clients.GrantClient;
  readonly #reserved: reserved.ReservedShares;
  readonly #stopping = new AbortController();
  readonly #peers = new Map<model.VmId, PeerTask>();
  readonly #sequences = new Map<model.VmId, number>();
  #urgentRounds = 0;
  #draining = false;
  #snapshot: configuration.Snapshot | undefined;
  #snapshotSinceMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(parts: EscrowLimiterParts, options: EscrowLimiterOptions = {}) {
    this.#configuration = parts.configuration;
    this.#network = parts.network;
    this.#membership = parts.membership;
    this.#logger = parts.logger;
    this.#metrics = new limiterMetrics.LimiterMetrics(parts.metrics);
    this.#margins = options.margins ?? safety.SAFETY_MARGINS;
    this.#now = options.now ?? kernel.getMonotonicMilliseconds;
    const reservedShare = options.reservedShare ?? safety.RESERVED_SHARE;
    this.#owners = new shards.ShardOwners(parts.membership);
    this.#voter = new voters.Voter(
      this.#margins,
      this.#now(),
      (shard, challenger) => this.#answerChallenge(shard, challenger),
      (shard) => void this.#followRelease(shard),
    );
    this.#coordinator = new coordinators.Coordinator(
      parts.configuration,
      reservedShare,
      this.#margins,
      this.#metrics,
    );
    this.#reserved = new reserved.ReservedShares(reservedShare, this.#margins);
    this.#holder = new holders.GrantHolder(
      this.#margins,
      (tokens) => this.#metrics.expiredTokens.inc(tokens),
      (coordinator, end) => this.#client.addReturn(coordinator, end),
    );
    this.#client = new clients.GrantClient(
      parts.network,
      this.#holder,
      this.#margins,
      this.#metrics,
      this.#now,
      (workspace) => this.#findCoordinator(workspace),
    );
    this.#createGauges(parts.metrics);
  }

  start(): void {
    this.#network.handle(messages.LEASE_CHANNEL, (message) => this.#answerLease(message));
    this.#network.handle(messages.GRANT_CHANNEL, (message) => this.#answerGrant(message));
    this.#network.handle(messages.RETURN_CHANNEL, (message) => this.#takeReturns(message));
    this.#membership.onChange(() => this.#followMembership());
    this.#configuration.onChange((change) => {
      this.#noteSnapshot(change.current);
      this.#hurry();
    });
    this.#followMembership();
    void this.#runSweeps();
  }

  /** Hands all shards over to other VMs, which takes one grant lifetime and a little more. */
  async drain(): Promise<void> {
    this.#draining = true;
    const now = this.#now();
    for (const shard of this.#coordinator.listClaims()) {
      this.#coordinator.close(shard, now);
    }
    this.#hurry();
    this.#returnTokens(true);
    // The successor asks for its votes and gets the levels with this VM's.
    const handover = safety.GRANT_LIFETIME_MILLISECONDS + safety.HANDOVER_MILLISECONDS;
    await kernel.sleep(handover + 2 * SWEEP_MILLISECONDS, this.#stopping.signal);
    this.#returnTokens(true);
  }

  stop(): void {
    this.#stopping.abort();
    for (const peer of this.#peers.values()) {
      stopPeer(peer);
    }
  }

  admit(
    workspace: model.Workspace,
    deadlineMilliseconds: number,
  ): types.RateDecision | Promise<types.RateDecision> {
    const now = this.#now();
    const holding = this.#holder.get(workspace.id);
    holding.addArrival(now);
    if (this.#holder.tryTake(workspace.id, holding, now)) {
      this.#client.refill(workspace.id, holding);
      return this.#count("grant", neverthrow.ok());
    }
    const own = this.#coordinator.tryTake(workspace, now);
    if (own === true) {
      return this.#count("coordinator", neverthrow.ok());
    }
    if (this.#tryReserved(workspace, now)) {
      return this.#count("own_share", neverthrow.ok());
    }
    if (own === false) {
      const wait = this.#coordinator.getWaitMilliseconds(workspace, now);
      return this.#count("over_rate", clients.refuse("over_rate", wait));
    }
    return this.#askCoordinator(workspace, holding, deadlineMilliseconds, now);
  }

  #askCoordinator(
    workspace: model.Workspace,
    holding: holders.WorkspaceHolding,
    deadlineMilliseconds: number,
    now: number,
  ): types.RateDecision | Promise<types.RateDecision> {
    if (holding.dryUntilMilliseconds > now) {
      const wait = holding.dryUntilMilliseconds - now;
      return this.#count("over_rate", clients.refuse("over_rate", wait));
    }
    const coordinator = this.#findCoordinator(workspace.id);
    const silence = this.#client.getSilenceMilliseconds(coordinator);
    const self = this.#network.self.vm;
    const isTooLate = deadlineMilliseconds - now < clients.GRANT_TIMEOUT_MILLISECONDS;
    if (coordinator === self || silence > 0 || isTooLate) {
      const wait = silence > 0 ? silence : URGENT_RENEWAL_MILLISECONDS;
      return this.#count("no_share", clients.refuse("no_share", wait));
    }
    const decision = this.#client.wait(workspace.id, holding, deadlineMilliseconds);
    if (!(decision instanceof Promise)) {
      return this.#count("no_share", decision);
    }
    return decision.then((settled) =>
      this.#count(settled.isOk() ? "waited" : settled.error.kind, settled)
    );
  }

  #count(decision: string, result: types.RateDecision): types.RateDecision {
    this.#metrics.decisions.inc({ decision });
    return result;
  }

  #tryReserved(workspace: model.Workspace, now: number): boolean {
    const vmLimit = this.#configuration.getSnapshot()?.fleet.vmLimit;
    if (vmLimit === undefined) {
      return false;
    }
    const shard = shards.getShard(workspace.id);
    const since = this.#voter.getOwnSinceMilliseconds(shard, vmLimit);
    return this.#reserved.tryTake(workspace, vmLimit, since, now);
  }

  /** The VM that this VM is bound to knows best; without one, the view of the fleet decides. */
  #findCoordinator(workspace: model.WorkspaceId): model.VmId {
    const shard = shards.getShard(workspace);
    return this.#voter.getHolder(shard, this.#now()) ?? this.#owners.getOwner(shard);
  }

  #followMembership(): void {
    this.#owners.refresh();
    const now = this.#now();
    const self = this.#network.self.vm;
    if (!this.#draining) {
      for (const shard of this.#owners.listShards(self)) {
        this.#coordinator.claim(shard, now);
      }
    }
    const members = this.#membership.listMembers();
    const listed = new Set(members.map((member) => member.vm));
    for (const vm of listed) {
      if (vm !== self && !this.#peers.has(vm)) {
        const peer = { stopped: false, hurried: false, wait: new AbortController() };
        this.#peers.set(vm, peer);
        void this.#runPeer(vm, peer);
      }
    }
    for (const [vm, peer] of this.#peers) {
      if (!listed.has(vm)) {
        stopPeer(peer);
        this.#peers.delete(vm);
      }
    }
    this.#voter.forgetCoordinators(new Set(members.map((member) => member.incarnation)));
    this.#hurry();
  }

  /** Asks all peers for votes at once, and often until there is a majority. */
  #hurry(): void {
    this.#urgentRounds = URGENT_ROUNDS;
    for (const peer of this.#peers.values()) {
      peer.hurried = true;
      peer.wait.abort();
    }
  }

  /** One task per peer: asks it for its votes again and again. */
  async #runPeer(vm: model.VmId, peer: PeerTask): Promise<void> {
    let claimed = false;
    while (!peer.stopped) {
      const claims = this.#coordinator.listClaims();
      // An empty claim is sent once, since it releases what was claimed before.
      if (claims.length > 0 || claimed) {
        await this.#renew(vm, claims);
      }
      claimed = claims.length > 0;
      if (peer.stopped) {
        return;
      }
      if (peer.hurried) {
        peer.hurried = false;
        continue;
      }
      // Whoever aborts the wait wakes the task.
      peer.wait = new AbortController();
      await kernel.sleep(this.#getRenewalMilliseconds(), peer.wait.signal);
      peer.hurried = false;
    }
  }

  #getRenewalMilliseconds(): number {
    const renewal = this.#getLeaseMilliseconds() / RENEWALS_PER_LEASE;
    const urgent = this.#urgentRounds > 0 && this.#coordinator.isIncomplete(this.#now());
    return urgent ? Math.min(URGENT_RENEWAL_MILLISECONDS, renewal) : renewal;
  }

  #getLeaseMilliseconds(): number {
    return safety.getLeaseMilliseconds(this.#configuration.getSnapshot()?.fleet.vmLimit ?? 1);
  }

  async #renew(vm: model.VmId, claims: number[]): Promise<void> {
    const request = this.#createLeaseRequest(vm, claims);
    if (request === undefined) {
      return;
    }
    const sent = this.#now();
    const timeout = request.leaseMilliseconds / RENEWALS_PER_LEASE;
    const result = await this.#network.call(vm, messages.LEASE_CHANNEL, request, timeout);
    if (result.isErr()) {
      this.#metrics.leases.inc({ result: result.error.kind });
      return;
    }
    const answer = messages.leaseAnswer.safeParse(result.value);
    if (!answer.success) {
      this.#metrics.malformed.inc({ channel: messages.LEASE_CHANNEL });
      return;
    }
    const isFull = answer.data.shards.length === claims.length;
    this.#metrics.leases.inc({ result: isFull ? "full" : "partial" });
    const now = this.#now();
    this.#coordinator.addVotes(vm, answer.data, request.leaseMilliseconds, sent, now);
  }

  #createLeaseRequest(vm: model.VmId, claims: number[]): messages.LeaseRequest | undefined {
    const snapshot = this.#noteSnapshot(this.#configuration.getSnapshot());
    if (snapshot === undefined) {
      return undefined;
    }
    const sequence = (this.#sequences.get(vm) ?? 0) + 1;
    this.#sequences.set(vm, sequence);
    return {
      sequence,
      shards: claims,
      leaseMilliseconds: this.#getLeaseMilliseconds(),
      number: snapshot.number,
      digest: fleet.hashText(snapshot.digest),
      ...(this.#draining ? { leaving: true } : {}),
    };
  }

  /** This VM votes for itself by the same rules as for any other. */
  #voteForSelf(): void {
    const self = this.#network.self;
    const request = this.#createLeaseRequest(self.vm, this.#coordinator.listClaims());
    if (request === undefined) {
      return;
    }
    const now = this.#now();
    const answer = this.#vote(self, request, now);
    this.#coordinator.addVotes(self.vm, answer, request.leaseMilliseconds, now, now);
  }

  #answerLease(message: fleet.PeerMessage): messages.LeaseAnswer {
    const request = messages.leaseRequest.safeParse(message.payload);
    if (!request.success) {
      this.#metrics.malformed.inc({ channel: messages.LEASE_CHANNEL });
      return { shards: [], vmLimit: 1 };
    }
    if (request.data.leaving === true && this.#owners.markLeaving(message.from.vm)) {
      this.#followMembership();
    }
    return this.#vote(message.from, request.data, this.#now());
  }

  #vote(
    from: fleet.VmIdentity,
    request: messages.LeaseRequest,
    now: number,
  ): messages.LeaseAnswer {
    const snapshot = this.#noteSnapshot(this.#configuration.getSnapshot());
    if (snapshot === undefined) {
      this.#metrics.votes.inc({ result: "no_configuration" });
      return { shards: [], vmLimit: 1 };
    }
    const own: voters.VoterConfiguration = {
      number: snapshot.number,
      digest: fleet.hashText(snapshot.digest),
      vmLimit: snapshot.fleet.vmLimit,
      sinceMilliseconds: this.#snapshotSinceMilliseconds,
    };
    const vmLimit = own.vmLimit;
    const refusal = this.#voter.check(from, request, own, now);
    const isBehind = refusal === "configuration" && request.number < own.number;
    // Another VM takes the shards of one that does not follow.
    if (this.#owners.markBehind(from.vm, isBehind)) {
      this.#followMembership();
    }
    if (refusal !== undefined) {
      this.#metrics.votes.inc({ result: refusal });
      return { shards: [], vmLimit };
    }
    const granted = this.#voter.vote(from, request, now);
    const isFull = granted.length === request.shards.length;
    this.#metrics.votes.inc({ result: isFull ? "full" : "partial" });
    const handovers = granted.map((shard) => this.#coordinator.takeHandover(shard, now))
      .filter((handover) => handover !== undefined);
    return handovers.length === 0
      ? { shards: granted, vmLimit }
      : { shards: granted, vmLimit, handovers };
  }

  #noteSnapshot(snapshot: configuration.Snapshot | undefined): configuration.Snapshot | undefined {
    if (snapshot !== this.#snapshot) {
      this.#snapshot = snapshot;
      this.#snapshotSinceMilliseconds = this.#now();
    }
    return snapshot;
  }

  /** A shard is given up when its owner by this VM's own view asks for it. */
  #answerChallenge(shard: number, challenger: model.VmId): void {
    const owner = this.#owners.getOwner(shard);
    if (owner === challenger && challenger !== this.#network.self.vm) {
      this.#coordinator.close(shard, this.#now());
    }
  }

  /** A shard that this VM claims has just become free here, and about now elsewhere. */
  async #followRelease(shard: number): Promise<void> {
    if (!this.#coordinator.isWaitingFor(shard, this.#now())) {
      return;
    }
    await kernel.sleep(RELEASE_MILLISECONDS, this.#stopping.signal);
    this.#voteForSelf();
    this.#hurry();
  }

  #answerGrant(message: fleet.PeerMessage): messages.GrantAnswer {
    const request = messages.grantRequest.safeParse(message.payload);
    if (!request.success) {
      this.#metrics.malformed.inc({ channel: messages.GRANT_CHANNEL });
      return { grants: [] };
    }
    const now = this.#now();
    this.#endGrants(request.data.returns ?? [], now);
    return { grants: request.data.asks.map((ask) => this.#coordinator.grant(ask, now)) };
  }

  #takeReturns(message: fleet.PeerMessage): void {
    const returned = messages.returnMessage.safeParse(message.payload);
    if (!returned.success) {
      this.#metrics.malformed.inc({ channel: messages.RETURN_CHANNEL });
      return;
    }
    this.#endGrants(returned.data.returns, this.#now());
  }

  #endGrants(ends: readonly messages.Returned[], now: number): void {
    for (const end of ends) {
      this.#coordinator.takeBack(end, now);
    }
  }

  #returnTokens(all: boolean): void {
    for (const batch of this.#holder.collectReturns(this.#now(), all)) {
      for (const end of batch.returns) {
        this.#client.addReturn(batch.coordinator, end);
      }
    }
  }

  /** Regular work: own votes, returns, closings, forgetting idle workspaces. */
  async #runSweeps(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      this.#sweep();
      await kernel.sleep(SWEEP_MILLISECONDS, this.#stopping.signal);
    }
  }

  #sweep(): void {
    const now = this.#now();
    this.#voteForSelf();
    this.#urgentRounds = Math.max(0, this.#urgentRounds - 1);
    this.#closeLostClaims(now);
    if (this.#coordinator.finishClosing(now)) {
      this.#logger.info("Shards were released.", { left: this.#coordinator.listClaims().length });
      this.#voteForSelf();
      this.#hurry();
    }
    this.#coordinator.sweep(now);
    this.#returnTokens(false);
    this.#client.sweep();
    this.#voter.sweep(now);
    const vmLimit = this.#configuration.getSnapshot()?.fleet.vmLimit ?? 1;
    this.#reserved.sweep(now, (workspace) => {
      return this.#voter.getOwnSinceMilliseconds(shards.getShard(workspace), vmLimit);
    });
  }

  /**
   * Votes that were given while views differed may be split between claimants for ever, since each
   * goes on renewing its own. One without a majority that is not the owner by its own view ends that.
   */
  #closeLostClaims(now: number): void {
    for (const shard of this.#coordinator.listClaims()) {
      const isOwner = this.#owners.getOwner(shard) === this.#network.self.vm;
      if (!isOwner && this.#coordinator.isWaitingFor(shard, now)) {
        this.#coordinator.close(shard, now);
      }
    }
  }

  #createGauges(metrics: kernel.Metrics): void {
    metrics.createGauge(
      "hemlockwalk_limits_shards",
      "Shards whose pooled part this VM grants.",
      () => this.#coordinator.countAuthorities(this.#now()),
    );
    metrics.createGauge(
      "hemlockwalk_limits_claimed_shards",
      "Shards for which this VM asks for votes.",
      () => this.#coordinator.listClaims().length,
    );
    metrics.createGauge(
      "hemlockwalk_limits_active_workspaces",
      "Workspaces for which this VM keeps state.",
      () => this.#coordinator.activeWorkspaces + this.#holder.size + this.#reserved.size,
    );
  }
}

function stopPeer(peer: PeerTask): void {
  peer.stopped = true;
  peer.wait.abort();
}
