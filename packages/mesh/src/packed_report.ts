/**
 * Encoding of reports. Each report is encoded once, by the VM that sends it first.
 */

import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import type * as types from "./types.ts";

const LEAVING_FLAG = 1;
const URGENT_FLAG = 2;

// Records would make a decoder depend on earlier messages.
const packr = new msgpackr.Packr({ useRecords: false });

export function encodeReport(report: types.Report): Uint8Array {
  const flags = (report.isLeaving ? LEAVING_FLAG : 0) | (report.isUrgent ? URGENT_FLAG : 0);
  const { tag, sequence, sections, origin } = report;
  const packed: types.PackedReport = origin === undefined
    ? [tag, sequence, flags, sections]
    : [tag, sequence, flags, sections, origin];
  return packr.pack(packed);
}

/** @returns The report, or a description of what is wrong with the bytes. */
export function decodeReport(encoded: Uint8Array): neverthrow.Result<types.Report, string> {
  let packed: types.PackedReport;
  try {
    packed = packr.unpack(encoded) as types.PackedReport;
  } catch (error) {
    return neverthrow.err(String(error));
  }
  if (!Array.isArray(packed) || typeof packed[3] !== "object" || packed[3] === null) {
    return neverthrow.err("The message is not a report.");
  }
  const [tag, sequence, flags, sections, origin] = packed;
  return neverthrow.ok({
    tag,
    sequence,
    isLeaving: (flags & LEAVING_FLAG) !== 0,
    isUrgent: (flags & URGENT_FLAG) !== 0,
    sections,
    origin: origin ?? undefined,
  });
}
