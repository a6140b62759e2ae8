/**
 * Messages by which VMs tell each other their lists of targets.
 *
 * A list is an array whose first element is its head. Earlier versions of the program know no head:
 * they send only changes, without the era or the number of a report, and take the head for the
 * removal of a target that there is not.
 */

import * as declarations from "@hemlockwalk/declarations";
import type * as model from "@hemlockwalk/model";

/** Identifier that stands in the place of a target's in the head. */
const HEAD_ID = "";

interface PositionMessage {
  readonly era: declarations.StoreEra;
  readonly revision: declarations.StoreRevision;
}

/** A mark as sent to other VMs. Earlier versions of the program send a number. */
interface MarkMessage {
  readonly digest: number;
  readonly asOf: PositionMessage | null;
  readonly latest: PositionMessage | null;
}

interface ChangeMessage {
  readonly id: model.TargetId;
  readonly revision: declarations.StoreRevision;
  readonly era?: declarations.StoreEra;
  readonly entry: declarations.TargetEntry | undefined | null;
}

interface HeadMessage extends ChangeMessage {
  readonly mark: MarkMessage;
  readonly isWhole: boolean;
  /** Earlier versions of the program do not send it. */
  readonly isCurrent?: boolean;
}

export function encodeMark({ digest, asOf, latest }: declarations.ListMark): unknown {
  return { digest, asOf: asOf ?? null, latest: latest ?? null } satisfies MarkMessage;
}

/** @returns Undefined if the message is not a mark of this version of the program. */
export function decodeMark(message: unknown): declarations.ListMark | undefined {
  if (typeof message !== "object" || message === null) {
    return undefined;
  }
  const { digest, asOf, latest } = message as Partial<MarkMessage>;
  return typeof digest === "number"
    ? { digest, asOf: asOf ?? undefined, latest: latest ?? undefined }
    : undefined;
}

export function encodeList(list: declarations.TargetList): unknown {
  const { mark, isWhole, isCurrent, changes } = list;
  const encoded = changes.map(encodeChange);
  if (mark === undefined) {
    return encoded;
  }
  const head = encodeHead(mark, isWhole);
  return [isCurrent === undefined ? head : { ...head, isCurrent }, ...encoded];
}

export function decodeList(message: unknown): declarations.TargetList {
  const elements = message as readonly (ChangeMessage | HeadMessage)[];
  const head = elements.find((element) => "mark" in element);
  return {
    mark: decodeMark(head?.mark),
    isWhole: head?.isWhole === true,
    isCurrent: head?.isCurrent,
    // An earlier version may also send on a head as the change that it took it for.
    changes: elements.filter(({ id }) => id !== HEAD_ID).map(decodeChange),
  };
}

function encodeHead(mark: declarations.ListMark, isWhole: boolean): HeadMessage {
  const position = mark.latest ??
    { era: declarations.UNSTATED_ERA, revision: 0 as declarations.StoreRevision };
  return {
    id: HEAD_ID as model.TargetId,
    revision: position.revision,
    era: position.era,
    entry: null,
    mark: encodeMark(mark) as MarkMessage,
    isWhole,
  };
}

function encodeChange({ id, position, entry }: declarations.TargetChange): ChangeMessage {
  return { id, revision: position.revision, era: position.era, entry };
}

function decodeChange({ id, revision, era, entry }: ChangeMessage): declarations.TargetChange {
  return {
    id,
    position: { era: era ?? declarations.UNSTATED_ERA, revision },
    // An absent entry is encoded as null.
    entry: entry ?? undefined,
  };
}
