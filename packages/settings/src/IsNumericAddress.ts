const IPV4 = /^((25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(\.(?!$)|$)){4}$/;
const IPV6_CHARACTERS = /^[0-9a-fA-F:.]*:[0-9a-fA-F:.]*$/;

/** Whether a text is a numeric IPv4 or IPv6 address. Host names are never resolved, so other texts are refused. */
export function isNumericAddress(text: string): boolean {
  if (IPV4.test(text)) return true;
  return IPV6_CHARACTERS.test(text) && URL.canParse(`http://[${text}]/`);
}
