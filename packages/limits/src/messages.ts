/**
 * Messages between VMs about limits. The receiver checks each by its schema before use.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as zod from "zod";
import * as shards from "./shards.ts";

/** A coordinator asks a VM for its votes; answered by `leaseAnswer`. */
export const LEASE_CHANNEL = fleet.createChannelName("limits.lease");
/** A VM asks a coordinator for tokens; answered by `grantAnswer`. */
export const GRANT_CHANNEL = fleet.createChannelName("limits.grant");
/** A VM asks another to ask a coordinator for it; answered by `grantAnswer` or not at all. */
export const DETOUR_CHANNEL = fleet.createChannelName("limits.detour");
/** A VM gives tokens back. */
export const RETURN_CHANNEL = fleet.createChannelName("limits.return");

const MAXIMUM_ASKS = 10_000;
/** A shard with more levels than this is taken over empty. */
export const MAXIMUM_HANDOVER_LEVELS = 5_000;
const MAXIMUM_CAPACITY_DROPS = 32;

const shard = zod.int().min(0).max(shards.SHARD_COUNT - 1);
const shardList = zod.array(shard).max(shards.SHARD_COUNT);
const count = zod.int().min(0);
const amount = zod.number().min(0);
const workspace = zod.string().min(1).max(63);

export const leaseRequest = zod.object({
  /** Grows with each request of one coordinator, so that late ones are told apart. */
  sequence: count,
  /** All shards that the coordinator claims. Those it held and leaves out are released. */
  shards: shardList,
  leaseMilliseconds: zod.number().positive(),
  /** Number of the release note in force at the coordinator. */
  number: count,
  /** Hash of the digest of that note. */
  digest: count,
  /** The coordinator is about to stop and gives all its shards up. */
  leaving: zod.boolean().optional(),
});
export type LeaseRequest = zod.infer<typeof leaseRequest>;

/** A moment at which the spendable shares fell, by the shares summed up since. */
const drop = zod.object({
  pooled: amount,
  lent: amount,
  pooledSeconds: amount,
  lentSeconds: amount,
});

/** Levels of one shard, from its earlier coordinator. The sender has deducted them. */
export const handover = zod.object({
  shard,
  levels: zod.array(zod.object({ workspace, level: amount })).max(MAXIMUM_HANDOVER_LEVELS),
  /** Bounds on the levels of all workspaces that are not listed. */
  drops: zod.array(drop).max(MAXIMUM_CAPACITY_DROPS),
});
export type Handover = zod.infer<typeof handover>;

export const leaseAnswer = zod.object({
  /** Shards for which the voter is bound to the coordinator. */
  shards: shardList,
  vmLimit: zod.int().positive(),
  handovers: zod.array(handover).max(shards.SHARD_COUNT).optional(),
});
export type LeaseAnswer = zod.infer<typeof leaseAnswer>;

const ask = zod.object({
  workspace,
  /** Requests that wait for a token now. */
  waiting: count,
  /** Tokens for requests that are expected soon. */
  ahead: count,
  /** The tokens ahead are wanted only where many are left. */
  onlyFromPlenty: zod.boolean().optional(),
});
export type Ask = zod.infer<typeof ask>;

const grant = zod.object({
  workspace,
  /** Names the grant at the coordinator that gave it. */
  grant: count,
  tokens: count,
  /** Counts from the sending of the request. */
  lifetimeMilliseconds: amount,
  /** Time until the next token; absent when the coordinator has no authority. */
  retryAfterMilliseconds: amount.optional(),
});
export type Grant = zod.infer<typeof grant>;

export const grantAnswer = zod.object({ grants: zod.array(grant).max(MAXIMUM_ASKS) });
export type GrantAnswer = zod.infer<typeof grantAnswer>;

/** The end of a grant, with what is left of it; 0 when it is spent. */
const returned = zod.object({ workspace, grant: count, tokens: count });
export type Returned = zod.infer<typeof returned>;

export const grantRequest = zod.object({
  asks: zod.array(ask).max(MAXIMUM_ASKS),
  /** Grants that have ended since the last message. */
  returns: zod.array(returned).max(MAXIMUM_ASKS).optional(),
});
export type GrantRequest = zod.infer<typeof grantRequest>;

export const detourRequest = zod.object({
  coordinator: zod.string().min(1).max(63),
  request: grantRequest,
});
export interface DetourRequest {
  readonly coordinator: string;
  readonly request: GrantRequest;
}

export const returnMessage = zod.object({ returns: zod.array(returned).max(MAXIMUM_ASKS) });
