/**
 * Messages by which VMs keep each other's view of the fleet up to date.
 */

import type * as model from "@hemlockwalk/model";
import * as zod from "zod";
import * as entries from "./member_entry.ts";
import * as table from "./member_table.ts";
import * as messaging from "./peer_messaging.ts";

/** A heartbeat with news, answered by news. */
export const EXCHANGE_CHANNEL = messaging.createChannelName("membership.exchange");
/** Digests of all groups, answered by the entries of those that differ. */
export const SYNC_CHANNEL = messaging.createChannelName("membership.sync");
/** Entries for a VM that lacks them. */
export const PUSH_CHANNEL = messaging.createChannelName("membership.push");
/** Asks a third VM to reach another. */
export const PROBE_CHANNEL = messaging.createChannelName("membership.probe");
/** Answered at once by a VM that lives. */
export const PING_CHANNEL = messaging.createChannelName("membership.ping");

/** Entries in one heartbeat or its answer. */
export const MAX_NEWS = 24;
/** Entries in one answer to a comparison of digests. */
export const MAX_SYNC_ENTRIES = 128;

const news = zod.array(entries.entrySchema).max(MAX_NEWS + 1);
const digest = zod.number().int().min(0).max(0xffff_ffff);
const digests = zod.array(digest).length(table.BUCKETS);
const page = zod.array(entries.entrySchema).max(MAX_SYNC_ENTRIES);

export const exchangeSchema = zod.object({
  /** The sender's own entry. */
  entry: entries.entrySchema,
  digest,
  news,
});

export const exchangeAnswerSchema = exchangeSchema;

export const syncSchema = zod.object({ digests });

export const syncAnswerSchema = zod.object({
  digests,
  entries: page,
  /** Whether the page holds all that differs. */
  isWhole: zod.boolean(),
});

export const pushSchema = zod.object({ entries: page });

export const probeSchema = zod.object({
  vm: zod.string().min(1).max(128).transform((value) => value as model.VmId),
});

export const probeAnswerSchema = zod.object({ isReached: zod.boolean() });
