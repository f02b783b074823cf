package forwarder

import (
	"net/http"
	"strings"

	"wigeonbay/internal/api"
)

// The key of a caller is turned into its digest where a request arrives, and is not kept
// anywhere else: it must not get into logs, spans or metrics, to targets or to other nodes.

// keyOf returns the digest of the key in a request's header, nil unless there is exactly one
// in the accepted form.
func (n *Node) keyOf(header http.Header) *api.KeyDigest {
	values := header.Values(n.cfg.Headers.Authorization)
	if len(values) != 1 {
		return nil
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.Trim(key, " \t")
	if key == "" || !strings.EqualFold(scheme, n.cfg.Headers.KeyScheme) {
		return nil
	}
	digest := api.DigestKey(key)
	return &digest
}

// nameAccount replaces what identifies the caller in a header by the name of its account, ""
// for none. Without accounts in the routing table the header stays as it is.
func (n *Node) nameAccount(header http.Header, account string, hasAccounts bool) {
	if !hasAccounts {
		return
	}
	names := n.cfg.Headers
	header.Del(names.Authorization)
	header.Del(names.Account)
	if account != "" {
		header.Set(names.Account, account)
	}
}
