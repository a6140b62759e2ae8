/**
 * Reports in the form in which they travel.
 */

import type * as types from "./types.ts";

const LEAVING_FLAG = 1;
const URGENT_FLAG = 2;

export function packReport(report: types.Report): types.PackedReport {
  const flags = (report.isLeaving ? LEAVING_FLAG : 0) | (report.isUrgent ? URGENT_FLAG : 0);
  const { tag, sequence, sections, origin } = report;
  return origin === undefined
    ? [tag, sequence, flags, sections]
    : [tag, sequence, flags, sections, origin];
}

export function unpackReport(packed: types.PackedReport): types.Report {
  const [tag, sequence, flags, sections, origin] = packed;
  return {
    tag,
    sequence,
    isLeaving: (flags & LEAVING_FLAG) !== 0,
    isUrgent: (flags & URGENT_FLAG) !== 0,
    sections,
    origin: origin ?? undefined,
  };
}
