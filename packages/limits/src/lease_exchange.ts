/**
 * Exchanges votes between this VM and all others: it requests votes for the shards that this VM
 * claims, and gives this VM's votes to others.
 */

import type * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as coordinators from "./coordinator.ts";
import * as messages from "./messages.ts";
import type * as limiterMetrics from "./metrics.ts";
import type * as policies from "./reserved_policy.ts";
import * as safety from "./safety_margins.ts";
import * as shards from "./shards.ts";
import * as voters from "./voter.ts";

/** Dependencies of a lease exchange. */
export interface LeaseExchangeParts {
  readonly configuration: configuration.ConfigurationService;
  readonly network: fleet.PeerNetwork;
  readonly membership: fleet.Membership;
  readonly coordinator: coordinators.Coordinator;
  readonly recentConfigurations: policies.RecentConfigurations;
  readonly metrics: limiterMetrics.LimiterMetrics;
  readonly logger: kernel.ComponentLogger;
  readonly margins: safety.SafetyMargins;
  readonly now: () => number;
}

/** Interval at which votes are requested while a claimed shard lacks a majority. */
const URGENT_RENEWAL_MILLISECONDS = 200;

/** Number of sweeps after a change for which renewal is urgent. */
const URGENT_ROUNDS = 25;

const RENEWALS_PER_LEASE = 2.5;

/** Time in which a coordinator's release of a shard reaches the other voters too. */
const RELEASE_PROPAGATION_MILLISECONDS = 10;

/** The task that requests votes from one peer. */
interface PeerTask {
  stopped: boolean;
  /**
   * Whether to renew again without delay, because the task was woken while it waited for a reply.
   */
  isRenewalDue: boolean;
  wait: AbortController;
}

/** Requests votes from other VMs and gives this VM's votes. */
export class LeaseExchange {
  readonly #configuration: configuration.ConfigurationService;
  readonly #network: fleet.PeerNetwork;
  readonly #membership: fleet.Membership;
  readonly #coordinator: coordinators.Coordinator;
  readonly #recentConfigurations: policies.RecentConfigurations;
  readonly #metrics: limiterMetrics.LimiterMetrics;
  readonly #logger: kernel.ComponentLogger;
  readonly #now: () => number;
  readonly #owners: shards.ShardOwners;
  readonly #voter: voters.Voter;
  readonly #stopping = new AbortController();
  readonly #peers = new Map<model.VmId, PeerTask>();
  readonly #sequences = new Map<model.VmId, number>();
  #urgentRounds = 0;
  #draining = false;

  constructor(parts: LeaseExchangeParts) {
    this.#configuration = parts.configuration;
    this.#network = parts.network;
    this.#membership = parts.membership;
    this.#coordinator = parts.coordinator;
    this.#recentConfigurations = parts.recentConfigurations;
    this.#metrics = parts.metrics;
    this.#logger = parts.logger;
    this.#now = parts.now;
    this.#owners = new shards.ShardOwners(parts.membership);
    this.#voter = new voters.Voter(
      parts.margins,
      this.#now(),
      (shard) => void this.#claimReleasedShard(shard),
    );
  }

  start(): void {
    this.#network.handle(messages.LEASE_CHANNEL, (message) => this.#answerLease(message));
    this.#membership.onChange(() => this.#applyMembership());
    this.#configuration.onChange((change) => {
      this.#recordSnapshot(change.current);
      this.#renewWithoutDelay();
    });
    this.#applyMembership();
  }

  /**
   * Starts to release all shards and announces it to the other VMs. Returns false if there are
   * none.
   */
  startDrain(): boolean {
    this.#draining = true;
    const now = this.#now();
    for (const shard of this.#coordinator.listClaims()) {
      this.#coordinator.startRelease(shard, now);
    }
    this.#renewWithoutDelay();
    return this.#peers.size > 0;
  }

  stop(): void {
    this.#stopping.abort();
    for (const peer of this.#peers.values()) {
      stopPeer(peer);
    }
  }

  /**
   * The coordinator of a workspace: the VM that holds this VM's vote or, if there is none, the
   * owner of the shard in this VM's view of the fleet.
   */
  findCoordinator(workspace: model.WorkspaceId): model.VmId {
    const shard = shards.getShard(workspace);
    return this.#voter.getCoordinator(shard, this.#now()) ?? this.#owners.getOwner(shard);
  }

  /**
   * Time from which this VM may spend its own share of a workspace; in the future while it is
   * leased.
   */
  getOwnShareSinceMilliseconds(workspace: model.WorkspaceId): number {
    const vmLimit = this.#configuration.getSnapshot()?.fleet.vmLimit ?? 1;
    return this.#voter.getOwnShareSinceMilliseconds(shards.getShard(workspace), vmLimit);
  }

  /**
   * Periodic work: renews this VM's votes for itself, finishes releases and removes expired votes.
   */
  sweep(now: number): void {
    this.#voteForSelf();
    this.#urgentRounds = Math.max(0, this.#urgentRounds - 1);
    this.#releaseLostClaims(now);
    if (this.#coordinator.finishReleases(now)) {
      this.#logger.info("Shards were released.", { left: this.#coordinator.listClaims().length });
      this.#voteForSelf();
      this.#renewWithoutDelay();
    }
    this.#voter.sweep(now);
  }

  #applyMembership(): void {
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
        const peer = { stopped: false, isRenewalDue: false, wait: new AbortController() };
        this.#peers.set(vm, peer);
        void this.#runPeerTask(vm, peer);
      }
    }
    for (const [vm, peer] of this.#peers) {
      if (!listed.has(vm)) {
        stopPeer(peer);
        this.#peers.delete(vm);
      }
    }
    this.#voter.removeCoordinators(new Set(members.map((member) => member.incarnation)));
    this.#renewWithoutDelay();
  }

  /** Requests votes from all peers without delay, and then frequently until there is a majority. */
  #renewWithoutDelay(): void {
    this.#urgentRounds = URGENT_ROUNDS;
    for (const peer of this.#peers.values()) {
      peer.isRenewalDue = true;
      peer.wait.abort();
    }
  }

  /** Requests the votes of one peer periodically until the peer is removed. */
  async #runPeerTask(vm: model.VmId, peer: PeerTask): Promise<void> {
    let claimed = false;
    while (!peer.stopped) {
      const claims = this.#coordinator.listClaims();
      // An empty claim is sent once, to release the shards claimed before.
      if (claims.length > 0 || claimed) {
        await this.#requestVotes(vm, claims);
      }
      claimed = claims.length > 0;
      if (peer.stopped) {
        return;
      }
      if (peer.isRenewalDue) {
        peer.isRenewalDue = false;
        continue;
      }
      // Aborting the wait wakes the task.
      peer.wait = new AbortController();
      await kernel.sleep(this.#getRenewalMilliseconds(), peer.wait.signal);
      peer.isRenewalDue = false;
    }
  }

  #getRenewalMilliseconds(): number {
    const renewal = this.#getLeaseMilliseconds() / RENEWALS_PER_LEASE;
    const isUrgent = this.#urgentRounds > 0 && this.#coordinator.lacksAnyMajority(this.#now());
    return isUrgent ? Math.min(URGENT_RENEWAL_MILLISECONDS, renewal) : renewal;
  }

  #getLeaseMilliseconds(): number {
    return safety.getLeaseMilliseconds(this.#configuration.getSnapshot()?.fleet.vmLimit ?? 1);
  }

  async #requestVotes(vm: model.VmId, claims: number[]): Promise<void> {
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
    const snapshot = this.#recordSnapshot(this.#configuration.getSnapshot());
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

  /** Votes for this VM itself by the same rules as for any other. */
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
      this.#applyMembership();
    }
    return this.#vote(message.from, request.data, this.#now());
  }

  #vote(
    from: fleet.VmIdentity,
    request: messages.LeaseRequest,
    now: number,
  ): messages.LeaseAnswer {
    const snapshot = this.#recordSnapshot(this.#configuration.getSnapshot());
    if (snapshot === undefined) {
      this.#metrics.votes.inc({ result: "no_configuration" });
      return { shards: [], vmLimit: 1 };
    }
    const ownConfiguration: voters.VoterConfiguration = {
      number: snapshot.number,
      digest: fleet.hashText(snapshot.digest),
      vmLimit: snapshot.fleet.vmLimit,
      sinceMilliseconds: this.#recentConfigurations.sinceMilliseconds,
    };
    const vmLimit = ownConfiguration.vmLimit;
    const refusal = this.#voter.check(from, request, ownConfiguration, now);
    const isBehind = refusal === "configuration" && request.number < ownConfiguration.number;
    // The shards of a VM that does not keep up with the configuration get another owner.
    if (this.#owners.markBehind(from.vm, isBehind)) {
      this.#applyMembership();
    }
    if (refusal !== undefined) {
      this.#metrics.votes.inc({ result: refusal });
      return { shards: [], vmLimit };
    }
    this.#releaseToOwner(from.vm, request.shards, now);
    const granted = this.#voter.vote(from, request, now);
    const isFull = granted.length === request.shards.length;
    this.#metrics.votes.inc({ result: isFull ? "full" : "partial" });
    const handovers = granted.map((shard) => this.#coordinator.consumeHandover(shard, now))
      .filter((handover) => handover !== undefined);
    return handovers.length === 0
      ? { shards: granted, vmLimit }
      : { shards: granted, vmLimit, handovers };
  }

  #recordSnapshot(
    snapshot: configuration.Snapshot | undefined,
  ): configuration.Snapshot | undefined {
    this.#recentConfigurations.record(snapshot, this.#now());
    return snapshot;
  }

  /** Releases shards when the VM that owns them in this VM's view claims them. */
  #releaseToOwner(from: model.VmId, claimed: readonly number[], now: number): void {
    if (from === this.#network.self.vm) {
      return;
    }
    for (const shard of claimed) {
      if (this.#owners.getOwner(shard) === from) {
        this.#coordinator.startRelease(shard, now);
      }
    }
  }

  /**
   * Requests votes without delay for a claimed shard that its earlier coordinator has just
   * released.
   */
  async #claimReleasedShard(shard: number): Promise<void> {
    if (!this.#coordinator.lacksMajority(shard, this.#now())) {
      return;
    }
    await kernel.sleep(RELEASE_PROPAGATION_MILLISECONDS, this.#stopping.signal);
    this.#voteForSelf();
    this.#renewWithoutDelay();
  }

  /**
   * Releases claims without a majority to shards that this VM does not own in its view. Votes that
   * were given while views differed could otherwise stay split between claimants forever, since
   * each of them keeps renewing its own.
   */
  #releaseLostClaims(now: number): void {
    for (const shard of this.#coordinator.listClaims()) {
      const isOwner = this.#owners.getOwner(shard) === this.#network.self.vm;
      if (!isOwner && this.#coordinator.lacksMajority(shard, now)) {
        this.#coordinator.startRelease(shard, now);
      }
    }
  }
}

function stopPeer(peer: PeerTask): void {
  peer.stopped = true;
  peer.wait.abort();
}
