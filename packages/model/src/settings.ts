/**
 * The settings file of one VM: JSON with comments, checked whole before anything starts.
 */

import type * as neverthrow from "neverthrow";
import * as zod from "zod";
import type * as diagnostics from "./diagnostics.ts";
import * as document from "./document.ts";
import * as ids from "./ids.ts";
import * as schemas from "./schemas.ts";

const tlsFiles = zod.strictObject({
  certificateFile: zod.string().min(1),
  keyFile: zod.string().min(1),
});

const listener = zod.strictObject({
  address: schemas.socketAddress,
  tls: tlsFiles.optional(),
});

const peerSeed = zod.strictObject({
  vm: schemas.identifier.transform(ids.createVmId),
  address: schemas.socketAddress,
  dataCentre: schemas.identifier.transform(ids.createDataCentreId),
});

const settingsSchema = zod.strictObject({
  vm: schemas.identifier.transform(ids.createVmId),
  dataCentre: schemas.identifier.transform(ids.createDataCentreId),
  listener,
  admin: zod.strictObject({ address: schemas.socketAddress }),
  platform: zod.strictObject({
    addresses: zod.array(zod.url()).min(1),
  }),
  peers: zod.strictObject({
    address: schemas.socketAddress,
    secretFile: zod.string().min(1),
    seeds: zod.array(peerSeed).default([]),
  }).optional(),
  log: zod.strictObject({
    level: zod.enum(["debug", "info", "warn", "error"]).default("info"),
  }).default({ level: "info" }),
});

/** Checked settings of one VM. */
export type Settings = zod.output<typeof settingsSchema>;

/** Checks the text of a settings file. */
export function parseSettings(
  text: string,
): neverthrow.Result<Settings, diagnostics.Diagnostic[]> {
  return document.parseDocument(text, settingsSchema);
}
