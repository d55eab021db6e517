package auth

import (
	"crypto/subtle"
	"net/http"
)

// RequireToken returns a handler that rejects requests without the bearer token.
func RequireToken(token string, next http.Handler) http.Handler {
	expected := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), expected) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "a credential is needed", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
