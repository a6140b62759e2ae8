/**
 * A VM as coordinator: it claims shards, keeps the tokens of their workspaces and grants them.
 *
 * A shard is given up in order: for one grant lifetime all grants end with that time; then the
 * levels are set aside, the votes are released, and the successor gets the levels with its votes.
 */

import type * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as messages from "./messages.ts";
import type * as limiterMetrics from "./metrics.ts";
import * as buckets from "./pooled_bucket.ts";
import type * as policies from "./reserved_policy.ts";
import * as safety from "./safety_margins.ts";
import * as authorities from "./shard_authority.ts";
import * as shards from "./shards.ts";

/** Share of what is left after the waiting requests that one request may take ahead of need. */
const AHEAD_SHARE = 0.125;

/** From this many tokens on, single ones are granted ahead of a need that is not certain. */
const PLENTY_TOKENS = 40;

/** Grants shorter than this are spent by nobody. */
const SHORTEST_GRANT_MILLISECONDS = 5;

interface CoordinatedShard {
  readonly authority: authorities.ShardAuthority;
  readonly buckets: Map<model.WorkspaceId, buckets.PooledBucket>;
  /** When this VM gives the shard up; undefined while it means to keep it. */
  closingMilliseconds: number | undefined;
}

interface SetAside {
  readonly handover: messages.Handover;
  readonly sinceMilliseconds: number;
}

/** The shards that this VM coordinates. */
export class Coordinator {
  readonly #configuration: configuration.ConfigurationService;
  readonly #margins: safety.SafetyMargins;
  readonly #recent: policies.RecentConfigurations;
  readonly #metrics: limiterMetrics.LimiterMetrics;
  readonly #shards = new Map<number, CoordinatedShard>();
  readonly #setAside = new Map<number, SetAside>();
  /** Levels that came before the votes. */
  readonly #received = new Map<number, SetAside>();
  #lastGrant = 0;

  constructor(
    configurationService: configuration.ConfigurationService,
    recent: policies.RecentConfigurations,
    margins: safety.SafetyMargins,
    metrics: limiterMetrics.LimiterMetrics,
  ) {
    this.#configuration = configurationService;
    this.#recent = recent;
    this.#margins = margins;
    this.#metrics = metrics;
  }

  /** Workspaces for which state is kept. */
  get activeWorkspaces(): number {
    let count = 0;
    for (const shard of this.#shards.values()) {
      count += shard.buckets.size;
    }
    return count;
  }

  /** Shards whose pooled part this VM may spend. */
  countAuthorities(nowMilliseconds: number): number {
    let count = 0;
    for (const { authority } of this.#shards.values()) {
      authority.advance(nowMilliseconds);
      count += authority.hasMajority ? 1 : 0;
    }
    return count;
  }

  /** The shards for which this VM asks for votes. */
  listClaims(): number[] {
    return [...this.#shards.keys()];
  }

  /** Whether a claimed shard still lacks its majority. */
  isIncomplete(nowMilliseconds: number): boolean {
    return this.countAuthorities(nowMilliseconds) < this.#shards.size;
  }

  /** Whether a shard is claimed that lacks its majority. */
  isWaitingFor(shard: number, nowMilliseconds: number): boolean {
    const authority = this.#shards.get(shard)?.authority;
    authority?.advance(nowMilliseconds);
    return authority !== undefined && !authority.hasMajority;
  }

  /** Starts to claim a shard, or goes on claiming it after all. */
  claim(shard: number, nowMilliseconds: number): void {
    const known = this.#shards.get(shard);
    if (known !== undefined) {
      known.closingMilliseconds = undefined;
      return;
    }
    const authority = new authorities.ShardAuthority(
      this.#getVmLimit(),
      this.#margins,
      nowMilliseconds,
    );
    this.#setAside.delete(shard);
    this.#shards.set(shard, { authority, buckets: new Map(), closingMilliseconds: undefined });
  }

  /** Starts to give a shard up. */
  close(shard: number, nowMilliseconds: number): void {
    const known = this.#shards.get(shard);
    if (known !== undefined) {
      known.closingMilliseconds ??= nowMilliseconds + safety.GRANT_LIFETIME_MILLISECONDS;
    }
  }

  /** Drops shards whose closing is over, setting their levels aside; true when there were any. */
  finishClosing(nowMilliseconds: number): boolean {
    let released = false;
    for (const [shard, known] of this.#shards) {
      if ((known.closingMilliseconds ?? Number.POSITIVE_INFINITY) <= nowMilliseconds) {
        this.#release(shard, known, nowMilliseconds);
        released = true;
      }
    }
    return released;
  }

  /** Adds votes that were asked for at the given time. */
  addVotes(
    voter: model.VmId,
    answer: messages.LeaseAnswer,
    leaseMilliseconds: number,
    sentMilliseconds: number,
    nowMilliseconds: number,
  ): void {
    const lifetime = safety.getReceiverMilliseconds(leaseMilliseconds, this.#margins);
    const expiry = sentMilliseconds + lifetime;
    for (const shard of answer.shards) {
      const authority = this.#shards.get(shard)?.authority;
      authority?.addVote(voter, expiry, answer.vmLimit, nowMilliseconds);
    }
    for (const handover of answer.handovers ?? []) {
      this.#received.set(handover.shard, { handover, sinceMilliseconds: sentMilliseconds });
    }
    this.#adoptReceived(nowMilliseconds);
  }

  /** Gives out the levels of a shard that were set aside. They are deducted by that. */
  takeHandover(shard: number, nowMilliseconds: number): messages.Handover | undefined {
    const setAside = this.#setAside.get(shard);
    if (setAside === undefined) {
      return undefined;
    }
    const age = nowMilliseconds - setAside.sinceMilliseconds;
    if (age > safety.HANDOVER_MILLISECONDS) {
      this.#setAside.delete(shard);
      return undefined;
    }
    if (this.#margins.deductionBeforeSending) {
      this.#setAside.delete(shard);
    }
    this.#metrics.handovers.inc({ result: "sent" });
    return setAside.handover;
  }

  /** Takes a token for a request of this VM; undefined when this VM has no say on the shard. */
  tryTake(workspace: model.Workspace, nowMilliseconds: number): boolean | undefined {
    const known = this.#shards.get(shards.getShard(workspace.id));
    if (known === undefined) {
      return undefined;
    }
    known.authority.advance(nowMilliseconds);
    if (known.authority.isEmpty) {
      return undefined;
    }
    const taken = this.#getBucket(known, workspace, nowMilliseconds).tryTake(nowMilliseconds);
    return taken || known.authority.hasMajority ? taken : undefined;
  }

  /** Milliseconds until the workspace has a whole token here. */
  getWaitMilliseconds(workspace: model.Workspace, nowMilliseconds: number): number {
    const known = this.#shards.get(shards.getShard(workspace.id));
    if (known === undefined) {
      return 0;
    }
    return this.#getBucket(known, workspace, nowMilliseconds).getWaitMilliseconds(nowMilliseconds);
  }

  /** Answers a VM that asks for tokens. */
  grant(ask: messages.Ask, nowMilliseconds: number): messages.Grant {
    const id = ask.workspace as model.WorkspaceId;
    const known = this.#shards.get(shards.getShard(id));
    const workspace = this.#configuration.getSnapshot()?.findWorkspace(id);
    known?.authority.advance(nowMilliseconds);
    const lifetimeMilliseconds = known === undefined
      ? 0
      : this.#getLifetime(known, nowMilliseconds);
    if (
      known === undefined || workspace === undefined || known.authority.isEmpty ||
      lifetimeMilliseconds < SHORTEST_GRANT_MILLISECONDS
    ) {
      this.#metrics.grants.inc({ result: "no_authority" });
      return { workspace: id, grant: 0, tokens: 0, lifetimeMilliseconds: 0 };
    }
    const bucket = this.#getBucket(known, workspace, nowMilliseconds);
    const tokens = chooseTokens(ask, bucket.getLevel(nowMilliseconds));
    if (tokens > 0) {
      this.#lastGrant++;
      bucket.lend(this.#lastGrant, tokens, nowMilliseconds + lifetimeMilliseconds);
    }
    this.#metrics.grants.inc({ result: tokens < ask.waiting ? "short" : "full" });
    this.#metrics.grantedTokens.inc(tokens);
    const grant = { workspace: id, grant: this.#lastGrant, tokens, lifetimeMilliseconds };
    return known.authority.hasMajority
      ? { ...grant, retryAfterMilliseconds: Math.ceil(bucket.getWaitMilliseconds(nowMilliseconds)) }
      : grant;
  }

  /** Takes unused tokens back. */
  takeBack(returned: messages.Returned, nowMilliseconds: number): void {
    const id = returned.workspace as model.WorkspaceId;
    const bucket = this.#shards.get(shards.getShard(id))?.buckets.get(id);
    const taken = bucket?.takeBack(returned.grant, returned.tokens, nowMilliseconds) ?? false;
    this.#metrics.returnedTokens.inc({ result: taken ? "taken" : "late" }, returned.tokens);
  }

  /** Brings buckets with outstanding grants up to date and forgets idle ones. */
  sweep(nowMilliseconds: number): void {
    for (const known of this.#shards.values()) {
      known.authority.configure(this.#getVmLimit(), nowMilliseconds);
      for (const [workspace, bucket] of known.buckets) {
        const quiet = nowMilliseconds - bucket.touchedMilliseconds >
          safety.GRANT_LIFETIME_MILLISECONDS;
        if (bucket.isIdle(nowMilliseconds) && quiet) {
          known.buckets.delete(workspace);
        }
      }
    }
  }

  #getLifetime(known: CoordinatedShard, nowMilliseconds: number): number {
    const longest = safety.GRANT_LIFETIME_MILLISECONDS;
    if (!this.#margins.accrualAfterExpiry) {
      return longest;
    }
    const closing = known.closingMilliseconds ?? Number.POSITIVE_INFINITY;
    const end = known.authority.hasMajority
      ? known.authority.getEndMilliseconds(nowMilliseconds)
      : Number.POSITIVE_INFINITY;
    return Math.floor(Math.min(longest, closing - nowMilliseconds, end - nowMilliseconds));
  }

  #getBucket(
    known: CoordinatedShard,
    workspace: model.Workspace,
    nowMilliseconds: number,
  ): buckets.PooledBucket {
    // Only the coordinator's own configuration counts for its buckets.
    const current = this.#configuration.getSnapshot()?.findWorkspace(workspace.id) ?? workspace;
    const reservedShare = this.#recent.getShare(current, nowMilliseconds);
    let bucket = known.buckets.get(workspace.id);
    if (bucket === undefined) {
      bucket = new buckets.PooledBucket(current, reservedShare, known.authority, this.#margins);
      known.buckets.set(workspace.id, bucket);
    }
    bucket.configure(current, reservedShare, nowMilliseconds);
    bucket.touchedMilliseconds = nowMilliseconds;
    return bucket;
  }

  #release(shard: number, known: CoordinatedShard, nowMilliseconds: number): void {
    const { authority } = known;
    authority.advance(nowMilliseconds);
    if (authority.hasMajority && known.buckets.size <= messages.MAXIMUM_HANDOVER_LEVELS) {
      const levels = [...known.buckets].map(([workspace, bucket]) => ({
        workspace,
        level: bucket.getLevel(nowMilliseconds),
      }));
      const drops = authority.listDropsBefore();
      const handover = { shard, levels, drops };
      this.#setAside.set(shard, { handover, sinceMilliseconds: nowMilliseconds });
    }
    authority.release(nowMilliseconds);
    this.#shards.delete(shard);
  }

  #adoptReceived(nowMilliseconds: number): void {
    for (const [shard, received] of this.#received) {
      const known = this.#shards.get(shard);
      known?.authority.advance(nowMilliseconds);
      const age = nowMilliseconds - received.sinceMilliseconds;
      // After a second gain the levels could be counted twice.
      if (known === undefined || age > safety.HANDOVER_MILLISECONDS || known.authority.gains > 1) {
        this.#metrics.handovers.inc({ result: "dropped" });
        this.#received.delete(shard);
      } else if (known.authority.hasMajority) {
        this.#received.delete(shard);
        this.#adopt(known, received.handover, nowMilliseconds);
      }
    }
  }

  #adopt(
    known: CoordinatedShard,
    handover: messages.Handover,
    nowMilliseconds: number,
  ): void {
    const levels = handover.levels.map(({ workspace: id, level }) => ({
      workspace: this.#configuration.getSnapshot()?.findWorkspace(id as model.WorkspaceId),
      level,
    }));
    // A workspace that this VM does not know yet would later count as one that was silent.
    if (levels.some(({ workspace }) => workspace === undefined)) {
      this.#metrics.handovers.inc({ result: "unknown_workspace" });
      return;
    }
    this.#metrics.handovers.inc({ result: "adopted" });
    // The listed ones must exist before the others' bounds are known, which are higher.
    for (const { workspace, level } of levels) {
      kernel.assert(workspace !== undefined, "All workspaces were found.");
      this.#getBucket(known, workspace, nowMilliseconds).adopt(level, nowMilliseconds);
    }
    known.authority.adoptDrops(handover.drops);
  }

  #getVmLimit(): number {
    return this.#configuration.getSnapshot()?.fleet.vmLimit ?? 1;
  }
}

function chooseTokens(ask: messages.Ask, level: number): number {
  const available = Math.floor(level + 1e-9);
  if (available <= ask.waiting) {
    return available;
  }
  const left = available - ask.waiting;
  // A VM that hardly needs a token gets one only where many are left for the others.
  const isWorthwhile = ask.onlyFromPlenty !== true || left >= PLENTY_TOKENS;
  const ahead = isWorthwhile ? Math.floor(left * AHEAD_SHARE) : 0;
  return ask.waiting + Math.min(ask.ahead, ahead);
}
