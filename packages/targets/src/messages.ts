/**
 * Messages between the VMs of a service and its coordinator, with the schemas by which the receiver
 * checks them. Lists of numbers are flat, since they make up most of the bytes.
 */

import * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as zod from "zod";
import * as latencies from "./latency_buckets.ts";
import type * as evidences from "./service_evidence.ts";
import type * as types from "./types.ts";

/** Evidence from a VM to the coordinator of a service. */
export const DIGEST_CHANNEL = fleet.createChannelName("targets.digest");

/** Verdicts from the coordinator of a service to a VM. */
export const VERDICT_CHANNEL = fleet.createChannelName("targets.verdict");

const MAXIMUM_ENTRIES = 4_000;
const CALL_FIELDS = 4;
const LOAD_FIELDS = 2;
const VERDICT_FIELDS = 6;

/** Loads travel in hundredths of a request. */
const LOAD_UNITS = 100;

const TRIAL_FLAG = 4;
const BUCKET_FACTOR = 8;
const RESULTS = ["answered", "broken", "failed", "shed"] as const;
const STATES = ["out", "trial"] as const;

const time = zod.number().min(0);
const numbers = (fields: number) =>
  zod.array(zod.number().int().min(0).max(0xffff_ffff))
    .max(MAXIMUM_ENTRIES * fields)
    .refine((list) => list.length % fields === 0, "Expected whole entries");
const serviceId = zod.string().min(1).max(63).transform((value) => value as model.ServiceId);

const verdicts = zod.strictObject({
  /** Target, route or 0, data centre as index plus one or 0, state, remaining time, offences. */
  list: numbers(VERDICT_FIELDS),
  dataCentres: zod.array(
    zod.string().min(1).max(63).transform((value) => value as model.DataCentreId),
  ).max(64),
});

/** Verdicts as they travel. */
export type PackedVerdicts = zod.output<typeof verdicts>;

/** What calls showed since the last digest. */
export const digestSchema = zod.strictObject({
  service: serviceId,
  /** Sender's clock, in milliseconds; comes back with the verdicts. */
  sentAt: time,
  /** Whether the sender suspects itself, since many targets fail for it at once. */
  suspect: zod.boolean(),
  /** Target, route, result with bucket, count. */
  calls: numbers(CALL_FIELDS),
  /** Target, average number of running requests in hundredths. */
  loads: numbers(LOAD_FIELDS),
  /** Targets out of use whose probe succeeded. */
  probed: numbers(1).optional(),
  /** Verdicts that the sender holds from another coordinator. */
  held: verdicts.optional(),
});

/** A digest on its way. */
export type Digest = zod.output<typeof digestSchema>;

/** What the coordinator wants the VMs to do. */
export const verdictSchema = zod.strictObject({
  service: serviceId,
  /** Grows with each message of one coordinator. */
  sequence: zod.number().int().min(0),
  /** The receiver's clock when it sent the newest digest that the coordinator has seen. */
  echo: time,
  /** Hash of the incarnation that sent that digest. A replaced VM has another clock. */
  life: zod.number().int().min(0),
  verdicts,
  /** Whether the receiver may send trial requests. */
  mayTry: zod.boolean(),
  /** Target, running requests of all VMs in hundredths. */
  loads: numbers(LOAD_FIELDS),
});

/** Verdicts on their way. */
export type VerdictMessage = zod.output<typeof verdictSchema>;

/** Calls of one digest entry, without their source. */
export interface DigestCalls {
  readonly target: types.ShortId;
  readonly route: types.ShortId;
  readonly result: evidences.ReportedCalls["result"];
  readonly bucket: number;
  readonly trial: boolean;
  readonly count: number;
}

/** The running requests of one target. */
export interface TargetLoad {
  readonly target: types.ShortId;
  readonly running: number;
}

/** The short identifier of a target or route. */
export function createShortId(id: model.TargetId | model.RouteId): types.ShortId {
  return fleet.hashText(id) as types.ShortId;
}

/** Packs how calls ended into one number. */
export function packResult(
  result: evidences.ReportedCalls["result"],
  bucket: number,
  trial: boolean,
): number {
  return RESULTS.indexOf(result) + (trial ? TRIAL_FLAG : 0) + bucket * BUCKET_FACTOR;
}

/** Unpacks the calls of a digest. */
export function listCalls(digest: Digest): DigestCalls[] {
  const calls: DigestCalls[] = [];
  for (let index = 0; index < digest.calls.length; index += CALL_FIELDS) {
    const [target = 0, route = 0, packed = 0, count = 0] = digest.calls.slice(
      index,
      index + CALL_FIELDS,
    );
    const flags = packed % BUCKET_FACTOR;
    calls.push({
      target: target as types.ShortId,
      route: route as types.ShortId,
      result: RESULTS[flags % TRIAL_FLAG] ?? "answered",
      bucket: Math.min(Math.floor(packed / BUCKET_FACTOR), latencies.BUCKET_COUNT - 1),
      trial: flags >= TRIAL_FLAG,
      count,
    });
  }
  return calls;
}

/** Packs the loads of targets. */
export function packLoads(loads: Iterable<TargetLoad>): number[] {
  const packed: number[] = [];
  for (const { target, running } of loads) {
    packed.push(target, Math.round(running * LOAD_UNITS));
  }
  return packed;
}

/** Unpacks the loads of targets. */
export function listLoads(packed: readonly number[]): TargetLoad[] {
  const loads: TargetLoad[] = [];
  for (let index = 0; index < packed.length; index += LOAD_FIELDS) {
    const [target = 0, units = 0] = packed.slice(index, index + LOAD_FIELDS);
    loads.push({ target: target as types.ShortId, running: units / LOAD_UNITS });
  }
  return loads;
}

/** Packs verdicts. */
export function packVerdicts(list: readonly types.Verdict[]): PackedVerdicts {
  const dataCentres: model.DataCentreId[] = [];
  const packed: number[] = [];
  for (const { target, scope, state, remainingMilliseconds, offences } of list) {
    if (scope.dataCentre !== undefined && !dataCentres.includes(scope.dataCentre)) {
      dataCentres.push(scope.dataCentre);
    }
    const dataCentre = scope.dataCentre === undefined
      ? 0
      : dataCentres.indexOf(scope.dataCentre) + 1;
    packed.push(
      target,
      scope.route ?? 0,
      dataCentre,
      STATES.indexOf(state),
      Math.round(remainingMilliseconds),
      offences,
    );
  }
  return { list: packed, dataCentres };
}

/** Unpacks verdicts. */
export function listVerdicts(packed: PackedVerdicts): types.Verdict[] {
  const list: types.Verdict[] = [];
  for (let index = 0; index < packed.list.length; index += VERDICT_FIELDS) {
    const [target = 0, route = 0, dataCentre = 0, state = 0, remaining = 0, offences = 0] = packed
      .list.slice(index, index + VERDICT_FIELDS);
    list.push({
      target: target as types.ShortId,
      scope: {
        dataCentre: packed.dataCentres[dataCentre - 1],
        route: route === 0 ? undefined : route as types.ShortId,
      },
      state: STATES[state] ?? "out",
      remainingMilliseconds: remaining,
      offences: Math.max(1, offences),
    });
  }
  return list;
}
