/**
 * Creates the notes that change one state into another.
 */

import * as model from "@hemlockwalk/model";
import type * as stateDifference from "./state_difference.ts";

/** Bytes of a note that are reserved for everything but its entities. */
const ENVELOPE_BYTES = 20_000;

/** The note that precedes the first new one. */
export interface Predecessor {
  readonly number: number;
  readonly digest: string;
}

/** The number and the text of a new note. */
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
 * Creates one note, or several if one would exceed the platform's size limit.
 *
 * When there are several, the first notes add the entities whose addition cannot conflict with the
 * current state, each after the entities that it refers to. One more note contains all other
 * changes; if it would be too large as well, added routes get notes of their own before it.
 */
export function writeNotes(
  predecessor: Predecessor | undefined,
  difference: stateDifference.StateDifference,
  title: string,
): WrittenNote[] {
  const fullBody = createFullBody(difference);
  const bodies = getJsonBytes(fullBody) <= model.MAXIMUM_NOTE_BYTES - ENVELOPE_BYTES
    ? [fullBody]
    : splitBody(difference);
  const notes: WrittenNote[] = [];
  let previous = predecessor;
  for (const body of bodies) {
    const number = (previous?.number ?? 0) + 1;
    const head = { format: model.NOTE_FORMAT, number, previous: previous?.digest ?? null, title };
    const text = `${JSON.stringify({ ...head, ...body }, undefined, 1)}\n`;
    const compact = `${JSON.stringify({ ...head, ...body })}\n`;
    // Only short notes are indented, since indentation counts towards the size limit.
    const written = Buffer.byteLength(text) <= ENVELOPE_BYTES ? text : compact;
    notes.push({ number, text: written });
    previous = { number, digest: model.createNoteDigest(written) };
  }
  return notes;
}

function createFullBody(difference: stateDifference.StateDifference): NoteBody {
  return {
    fleet: difference.fleet,
    added: selectLists(difference, "added", model.SECTION_NAMES),
    changed: selectLists(difference, "changed", model.SECTION_NAMES),
    withdrawn: selectLists(difference, "withdrawn", model.SECTION_NAMES),
  };
}

function selectLists(
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
    added: selectLists(difference, "added", ["routes"]),
    changed: selectLists(difference, "changed", model.SECTION_NAMES),
    withdrawn: selectLists(difference, "withdrawn", model.SECTION_NAMES),
  };
  const lastBodies = getJsonBytes(last) <= model.MAXIMUM_NOTE_BYTES - ENVELOPE_BYTES
    ? [last]
    : [...splitList(difference.sections.routes.added).map((routes) => ({ added: { routes } })), {
      ...last,
      added: {},
    }];
  // The first note of a chain requires the fleet declaration, so the first of these notes has it.
  return first === undefined
    ? lastBodies.map((body, index) => index === 0 ? { fleet: difference.fleet, ...body } : body)
    : [{ fleet: difference.fleet, ...first }, ...others, ...lastBodies];
}

/** Splits a list into parts of which each fits into one note. */
function splitList(list: readonly unknown[]): unknown[][] {
  const parts: unknown[][] = [];
  let bytes = Infinity;
  for (const entity of list) {
    const entityBytes = getJsonBytes(entity) + 1;
    bytes += entityBytes;
    if (bytes > model.MAXIMUM_NOTE_BYTES - ENVELOPE_BYTES) {
      parts.push([]);
      bytes = entityBytes;
    }
    parts.at(-1)?.push(entity);
  }
  return parts;
}

function getJsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
