import type { DocumentFault } from '#catalogue/DocumentFault.js';

/** Formats a fault as one line, `file:line:column: path: message`, a format that editors recognize. */
export function formatFault(fault: DocumentFault): string {
  const path = fault.path === '' ? '' : `${fault.path}: `;
  return `${fault.file}:${fault.line}:${fault.column}: ${path}${fault.message}`;
}
