/**
 * The table of diagnostics of settings and release notes.
 *
 * Numbers are stable: 1xxx concern documents as such, 2xxx settings, 3xxx release notes,
 * 4xxx the chain of release notes, 5xxx declarations. A withdrawn number is not reused.
 */

/** One row of the table. `{0}` and `{1}` are placeholders for arguments. */
export interface DiagnosticMessage {
  readonly code: number;
  readonly message: string;
}

function createMessage(code: number, message: string): DiagnosticMessage {
  return { code, message };
}

export const Diagnostics = {
  invalidJson: createMessage(1001, "The document is not valid JSON: {0}."),
  documentTooLarge: createMessage(1002, "The document has {0} bytes; at most {1} are allowed."),
  invalidField: createMessage(1003, "{0}"),
  fileUnreadable: createMessage(1004, "The file cannot be read: {0}."),
  unknownFormat: createMessage(3001, "Format {0} is unknown; this version reads format {1}."),
  alreadyExists: createMessage(3002, "The {0} '{1}' is added, but it exists already."),
  doesNotExist: createMessage(3003, "The {0} '{1}' does not exist."),
  unknownReference: createMessage(
    3004,
    "The {0} '{1}' refers to the {2} '{3}', which does not exist.",
  ),
  listedTwice: createMessage(3005, "The {0} '{1}' is listed more than once in this note."),
  stillReferenced: createMessage(
    3006,
    "The {0} '{1}' is withdrawn, but the {2} '{3}' refers to it.",
  ),
  routeConflict: createMessage(
    3007,
    "The routes '{0}' and '{1}' have the same host and path prefix.",
  ),
  fleetMissing: createMessage(3008, "The first note must declare the fleet."),
  wrongPredecessor: createMessage(4001, "Note {0} names the predecessor {1}, but {2} is in force."),
  wrongNumber: createMessage(4002, "Note {0} cannot follow note {1}."),
  forkedNote: createMessage(
    4003,
    "Note {0} with the digest {1} is in force; another one with the digest {2} is refused.",
  ),
  wrongKey: createMessage(4004, "The value under '{0}' holds note {1}."),
  wrongDigest: createMessage(4005, "The digest is {0}, but {1} was announced."),
  chainGap: createMessage(4006, "Note {0} is missing."),
  baselineLine: createMessage(4101, "Line {0} of the baseline is wrong: {1}"),
  baselineRepeated: createMessage(4102, "The {0} '{1}' stands in the baseline more than once."),
  baselineCount: createMessage(4103, "The baseline holds {0} entities, but {1} were announced."),
  baselineDiffers: createMessage(4104, "The baseline of note {0} differs from the chain: {1}."),
  declaredTwice: createMessage(5001, "The {0} '{1}' is declared more than once."),
} as const satisfies Record<string, DiagnosticMessage>;

/** A position in a document. Both numbers start at 1. */
export interface Position {
  readonly line: number;
  readonly column: number;
}

/** Maximum number of findings that are reported for one document. */
export const MAXIMUM_FINDINGS = 50;

/** One finding. */
export interface Diagnostic {
  readonly code: number;
  readonly text: string;
  /** Path of the field, such as `added.routes[2].service`; empty for the whole document. */
  readonly field: string;
  /** The same path as names and indexes; absent if the field is not part of the document. */
  readonly path?: readonly PropertyKey[] | undefined;
  readonly position?: Position | undefined;
}

/** Formats a path of names and indexes, such as `added.routes[2].service`. */
export function formatPath(path: readonly PropertyKey[]): string {
  let text = "";
  for (const part of path) {
    text += typeof part === "number" ? `[${part}]` : `${text === "" ? "" : "."}${String(part)}`;
  }
  return text;
}

/**
 * Creates a finding from a row of the table.
 *
 * @param field Location of the finding: a path in the document, or the name of another value.
 */
export function createDiagnostic(
  row: DiagnosticMessage,
  values: readonly (string | number)[],
  field: string | readonly PropertyKey[] = "",
  position?: Position,
): Diagnostic {
  const text = row.message.replace(
    /\{(\d+)\}/g,
    (_, index: string) => String(values[Number(index)] ?? ""),
  );
  if (typeof field === "string") {
    return { code: row.code, text, field, position };
  }
  return { code: row.code, text, field: formatPath(field), path: field, position };
}

/** Formats a finding as one line: `file:line:column - HW1003 field: text`. */
export function formatDiagnostic(file: string, diagnostic: Diagnostic): string {
  const { position } = diagnostic;
  const place = position === undefined ? file : `${file}:${position.line}:${position.column}`;
  const field = diagnostic.field === "" ? "" : ` ${diagnostic.field}:`;
  return `${place} - HW${diagnostic.code}${field} ${diagnostic.text}`;
}
