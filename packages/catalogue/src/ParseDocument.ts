import type { ErrorObject, ValidateFunction } from 'ajv';
import { getNodeValue, parseTree, printParseErrorCode, type Node, type ParseError } from 'jsonc-parser';
import { Left, Right, type Either } from 'purify-ts';
import { describeSchemaError } from '#catalogue/DescribeSchemaError.js';
import type { DocumentFault } from '#catalogue/DocumentFault.js';
import type { DocumentPath } from '#catalogue/DocumentPath.js';
import { formatPath } from '#catalogue/FormatPath.js';
import { maxFaults } from '#catalogue/MaxFaults.js';
import type { ParsedDocument } from '#catalogue/ParsedDocument.js';

// The object store accepts values of up to 1 MB.
const MAX_TEXT_BYTES = 1_000_000;

/**
 * Parses JSON with comments, fills in the defaults of a schema and validates the document against it. If there are
 * syntax errors, only these are reported, since they lead to misleading schema violations. Reports at most `maxFaults`
 * faults.
 */
export function parseDocument<T>(
  text: string,
  fileName: string,
  validate: ValidateFunction<T>,
): Either<readonly DocumentFault[], ParsedDocument<T>> {
  const locate = createFaultLocator(text, fileName);
  if (Buffer.byteLength(text) > MAX_TEXT_BYTES) return Left([locate(0, [], 'is larger than 1 MB')]);
  const errors: ParseError[] = []; // eslint-disable-line no-restricted-syntax -- filled by jsonc-parser
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0)
    return Left(
      errors.slice(0, maxFaults).map(({ offset, error }) => locate(offset, [], describeSyntax(error))),
    );
  if (root === undefined) return Left([locate(0, [], 'is empty')]);
  const duplicates = findDuplicates(root, [])
    .slice(0, maxFaults)
    .map(({ offset, path }) => locate(offset, path, 'property appears twice'));
  if (duplicates.length > 0) return Left(duplicates);
  const value: unknown = getNodeValue(root);
  if (!validate(value))
    return Left(
      (validate.errors ?? []).slice(0, maxFaults).map((error) => locateSchemaError(root, locate, error)),
    );
  const faultAt = (path: DocumentPath, message: string): DocumentFault =>
    locate(findNode(root, path).offset, path, message);
  return Right({ value, faultAt });
}

type FaultLocator = (offset: number, path: DocumentPath, message: string) => DocumentFault;

function createFaultLocator(text: string, file: string): FaultLocator {
  return (offset, path, message) => {
    const before = text.slice(0, offset);
    const lineStart = before.lastIndexOf('\n') + 1;
    const line = before.split('\n').length;
    return { file, line, column: offset - lineStart + 1, path: formatPath(path), message };
  };
}

function describeSyntax(code: ParseError['error']): string {
  const words = printParseErrorCode(code).replace(/[A-Z]/g, (letter) => ` ${letter.toLowerCase()}`);
  return `syntax error:${words}`;
}

function locateSchemaError(root: Node, locate: FaultLocator, error: ErrorObject): DocumentFault {
  const path = toPath(root, error.instancePath);
  const node = findNode(root, path);
  const extra = (error.params as { readonly additionalProperty?: string }).additionalProperty;
  const key = extra === undefined ? undefined : findProperty(node, extra);
  return locate((key ?? node).offset, path, describeSchemaError(error));
}

// In a JSON pointer, array indexes look like property names, so the syntax tree is used to distinguish them.
function toPath(root: Node, pointer: string): DocumentPath {
  const steps = pointer
    .split('/')
    .slice(1)
    .map((step) => step.replaceAll('~1', '/').replaceAll('~0', '~'));
  return steps.reduce<DocumentPath>((path, step) => {
    const inArray = findNode(root, path).type === 'array';
    return [...path, inArray ? Number(step) : step];
  }, []);
}

// Returns the deepest node on the path that exists in the text; values filled in from defaults have none.
function findNode(root: Node, path: DocumentPath): Node {
  const [step, ...rest] = path;
  if (step === undefined) return root;
  const child = typeof step === 'number' ? root.children?.[step] : findProperty(root, step)?.children?.[1];
  return child === undefined ? root : findNode(child, rest);
}

function findProperty(node: Node, name: string): Node | undefined {
  return node.type === 'object'
    ? node.children?.find((property) => property.children?.[0]?.value === name)
    : undefined;
}

interface Duplicate {
  readonly offset: number;
  readonly path: DocumentPath;
}

function findDuplicates(node: Node, path: DocumentPath): readonly Duplicate[] {
  const children = node.children ?? [];
  if (node.type === 'array')
    return children.flatMap((child, index) => findDuplicates(child, [...path, index]));
  if (node.type !== 'object') return [];
  const seen = new Set<string>();
  return children.flatMap((property) => {
    const [key, value] = property.children ?? [];
    const name = String(key?.value);
    const inner = value === undefined ? [] : findDuplicates(value, [...path, name]);
    if (!seen.has(name)) {
      seen.add(name);
      return inner;
    }
    return [{ offset: property.offset, path: [...path, name] }, ...inner];
  });
}
