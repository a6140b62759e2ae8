/**
 * Writes the notes that lead from one state to another.
 */

import * as model from "@hemlockwalk/model";
import type * as stateDifference from "./state_difference.ts";

/** Room for what surrounds the entities of a note. */
const ENVELOPE_BYTES = 20_000;

/** The note that the next one follows. */
export interface Predecessor {
  readonly number: number;
  readonly digest: string;
}

/** One written note. */
export interface WrittenNote {
  readonly number: number;
  readonly text: string;
}

type SectionLists = Partial<Record<model.SectionName, unknown[]>>;

interface NoteBody {
  readonly fleet?: model.FleetDeclaration | undefined;
  readonly added: SectionLists;
  readonly changed?: SectionLists;
  readonly withdrawn?: SectionLists;
}

/**
 * Writes one note, or several where one would be above the platform's limit.
 *
 * Then entities that nothing can conflict with are added first, in the order of their references,
 * and the last note holds everything else.
 */
export function writeNotes(
  predecessor: Predecessor | undefined,
  difference: stateDifference.StateDifference,
  title: string,
): WrittenNote[] {
  const whole = createWholeBody(difference);
  const bodies = getBytes(whole) <= model.MAXIMUM_NOTE_BYTES - ENVELOPE_BYTES
    ? [whole]
    : splitBody(difference);
  const notes: WrittenNote[] = [];
  let previous = predecessor;
  for (const body of bodies) {
    const number = (previous?.number ?? 0) + 1;
    const head = { format: model.NOTE_FORMAT, number, previous: previous?.digest ?? null, title };
    const text = `${JSON.stringify({ ...head, ...body }, undefined, 1)}\n`;
    const compact = `${JSON.stringify({ ...head, ...body })}\n`;
    // Indentation helps readers of short notes; long ones would need more of the limit for it.
    const written = Buffer.byteLength(text) <= ENVELOPE_BYTES ? text : compact;
    notes.push({ number, text: written });
    previous = { number, digest: model.createNoteDigest(written) };
  }
  return notes;
}

function createWholeBody(difference: stateDifference.StateDifference): NoteBody {
  return {
    fleet: difference.fleet,
    added: pickLists(difference, "added", model.SECTION_NAMES),
    changed: pickLists(difference, "changed", model.SECTION_NAMES),
    withdrawn: pickLists(difference, "withdrawn", model.SECTION_NAMES),
  };
}

function pickLists(
  difference: stateDifference.StateDifference,
  part: "added" | "changed" | "withdrawn",
  sections: readonly model.SectionName[],
): SectionLists {
  const lists: SectionLists = {};
  for (const section of sections) {
    const list = difference.sections[section][part];
    if (list.length > 0) {
      lists[section] = [...list];
    }
  }
  return lists;
}

function splitBody(difference: stateDifference.StateDifference): NoteBody[] {
  const bodies: NoteBody[] = [];
  for (const section of ["workspaces", "services", "keys", "targets"] as const) {
    for (const part of splitList(difference.sections[section].added)) {
      bodies.push({ added: { [section]: part } });
    }
  }
  const [first, ...others] = bodies;
  const last: NoteBody = {
    added: pickLists(difference, "added", ["routes"]),
    changed: pickLists(difference, "changed", model.SECTION_NAMES),
    withdrawn: pickLists(difference, "withdrawn", model.SECTION_NAMES),
  };
  const lasts = getBytes(last) <= model.MAXIMUM_NOTE_BYTES - ENVELOPE_BYTES
    ? [last]
    : [...splitList(difference.sections.routes.added).map((routes) => ({ added: { routes } })), {
      ...last,
      added: {},
    }];
  // The declaration of the fleet goes first, since a first note must have it.
  return first === undefined
    ? lasts.map((body, index) => index === 0 ? { fleet: difference.fleet, ...body } : body)
    : [{ fleet: difference.fleet, ...first }, ...others, ...lasts];
}

/** Splits a list into parts that each fit into a note. */
function splitList(list: readonly unknown[]): unknown[][] {
  const parts: unknown[][] = [];
  let bytes = Infinity;
  for (const entity of list) {
    const entityBytes = getBytes(entity) + 1;
    bytes += entityBytes;
    if (bytes > model.MAXIMUM_NOTE_BYTES - ENVELOPE_BYTES) {
      parts.push([]);
      bytes = entityBytes;
    }
    parts.at(-1)?.push(entity);
  }
  return parts;
}

function getBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
