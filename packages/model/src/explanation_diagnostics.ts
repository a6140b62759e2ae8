/**
 * The table of diagnostics of `hemlockctl explain-placement`, of the VM and of the command.
 *
 * Numbers are stable, as in `diagnostics.ts`; 6xxx belongs to this table.
 */

import type * as diagnostics from "./diagnostics.ts";

export const ExplanationDiagnostics = {
  off: {
    code: 6001,
    message: "Explanations are off: 'explainPlacement' is not set in the options file of the VM.",
  },
  tooMany: { code: 6002, message: "The VM explains at most {0} placements in a second." },
  queryInvalid: { code: 6003, message: "The query is invalid: {0}." },
  vmStarting: {
    code: 6004,
    message: "The VM is starting and does not have its declarations and targets yet.",
  },
  routeUnknown: { code: 6005, message: "No route has the host '{0}' and the path '{1}'." },
  workspaceUnknown: { code: 6006, message: "No workspace '{0}' with a key is declared." },
  keyUnknown: {
    code: 6007,
    message: "The route needs a key, and none or an unknown one was given.",
  },
  requestRefused: { code: 6008, message: "The request would be refused with {0} {1}." },
  vmUnreachable: { code: 6009, message: "The VM does not answer within {0} ms." },
  answerInvalid: { code: 6010, message: "The VM answers with status {0} and no explanation." },
  optionInvalid: { code: 6011, message: "{0}." },
} as const satisfies Record<string, diagnostics.DiagnosticMessage>;
